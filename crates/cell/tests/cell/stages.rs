//! The metrics report the time a job spends in each stage.

use syc_obs::CellReadings;
use syc_sched::JobState;
use test_case::test_case;

use crate::cluster::Cluster;
use crate::cluster::step;

#[test_case("hand_over")]
#[test_case("advice")]
#[test_case("room")]
#[test_case("order")]
#[test_case("run")]
#[test_case("write")]
#[test_case("whole")]
fn each_stage_of_a_job_is_reported_in_the_metrics(stage: &str) {
    let cluster = Cluster::start(1, 1);
    let node = cluster.scheduler();
    cluster.submit(node, 1, vec![step(1, 20)]);
    cluster.wait_for_state(node, 1, JobState::Completed);
    let labels = format!(r#"stage="{stage}""#);
    cluster.wait("the stage in the metrics", || {
        let page = cluster.on(node, |node| async move {
            node.metrics.page(&CellReadings::default())
        });
        let mut lines = page.lines();
        lines
            .any(|line| line.starts_with("syc_cell_stage_time") && line.contains(&labels))
            .then_some(())
    });
}
