#!/bin/sh
# Guards against two bundles in force after two operators roll simultaneously,
# and against accepting a bundle with a forged signature, one signed by its
# author or one of an older version.
. "$(dirname "$0")/lib.sh"

start_site 3 --instances 2 --workers 1 --seed 23

# The two candidates for version 2 differ in one key, so that requests with that
# key show which one is in force.
for candidate in left right; do
	write_bundle 2 | sed "s/$(key_hash magnolia-key)/$(key_hash \
	    $candidate-key)/" >"$WORK/bundle-$candidate.ini"
	"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
	    "$WORK/bundle-$candidate.ini" >"$WORK/bundle-$candidate.sig"
done
roll 1 left >"$WORK/left" 2>&1 &
LEFT_PID=$!
roll 2 right >"$WORK/right" 2>&1 &
RIGHT_PID=$!
wait $LEFT_PID
left_code=$?
wait $RIGHT_PID
right_code=$?
if [ $left_code -eq 0 ] && [ $right_code -ne 0 ]; then
	winner=left loser=right
elif [ $left_code -ne 0 ] && [ $right_code -eq 0 ]; then
	winner=right loser=left
else
	fail "exit codes $left_code and $right_code: $(cat "$WORK/left" "$WORK/right")"
	exit 1
fi
grep -q 2 "$WORK/$loser" || fail "the rejected roll did not report the version in force"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 2'
	expect "winner's key at $node" 200 "$(post $node $winner /run/proof x)"
	expect "loser's key at $node" 401 "$(post $node $loser /run/proof x)"
done

# An older version and a forged signature are rejected.
roll 1 1 >/dev/null 2>&1 && fail "version 1 was accepted again"
write_bundle 3 >"$WORK/bundle-forged.ini"
sed 's/.$/0/' "$WORK/bundle-$winner.sig" >"$WORK/bundle-forged.sig"
roll 2 forged >/dev/null 2>&1 && fail "a forged signature was accepted"
write_bundle 3 | sed 's/author = ana/author = rosa/' >"$WORK/own.ini"
"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
    "$WORK/own.ini" >/dev/null 2>&1 && fail "the author could sign the bundle"
sign 3
roll 3 3 >"$WORK/roll-3" || fail "roll 3: $(cat "$WORK/roll-3")"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 3'
done
exit $FAILED
