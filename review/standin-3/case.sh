# Runs a case: case.sh NAME FOLDER. Read by the run.sh of each case.
# Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
name=$1
folder=$2
cd "$folder/../.." || exit 2
standin=target/review-3/standin
for program in "$standin" target/release/sycamorespur-edge; do
    if [ ! -x "$program" ]; then
        echo "$program is missing: build it with the command of the deploy file and review/build-3.sh" >&2
        exit 2
    fi
done
directory=$(mktemp -d) || exit 2
child=

# Ends what the case has started: the stand-ins, and the nodes that they list.
clean_up() {
    [ -n "$child" ] && kill "$child" 2>/dev/null
    for process in $(cat "$directory/processes" 2>/dev/null); do
        case $(cat "/proc/$process/comm" 2>/dev/null) in
            sycamorespur*) kill -9 "$process" 2>/dev/null ;;
        esac
    done
    rm -rf "$directory"
}
trap clean_up EXIT
trap 'exit 2' HUP INT TERM

"$standin" "$name" "$directory" "$folder/record.txt" "${TROUBLE:-1}" &
child=$!
wait "$child"
status=$?
child=
[ "$status" -le 1 ] || status=2
exit "$status"
