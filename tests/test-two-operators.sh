#!/bin/sh
# Guards against two bundles in force when two operators roll at once, and
# against a bundle that is unsigned, signed by its author or going back.
. "$(dirname "$0")/lib.sh"

start_site 3 --instances 2 --workers 1 --seed 23

# Rivals of version 2 differ in one key, which shows which one is in force.
for rival in left right; do
	write_bundle 2 | sed "s/$(key_hash magnolia-key)/$(key_hash \
	    $rival-key)/" >"$WORK/bundle-$rival.ini"
	"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
	    "$WORK/bundle-$rival.ini" >"$WORK/bundle-$rival.sig"
done
roll 1 left >"$WORK/left" 2>&1 &
LEFT=$!
roll 2 right >"$WORK/right" 2>&1 &
RIGHT=$!
wait $LEFT
left=$?
wait $RIGHT
right=$?
if [ $left -eq 0 ] && [ $right -ne 0 ]; then
	winner=left loser=right
elif [ $left -ne 0 ] && [ $right -eq 0 ]; then
	winner=right loser=left
else
	fail "exit codes $left and $right: $(cat "$WORK/left" "$WORK/right")"
	exit 1
fi
grep -q 2 "$WORK/$loser" || fail "the loser was not told the version"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 2'
	expect "winner's key at $node" 200 "$(post $node $winner /run/proof x)"
	expect "loser's key at $node" 401 "$(post $node $loser /run/proof x)"
done

# Neither the older version again nor a forged signature is taken.
roll 1 1 >/dev/null 2>&1 && fail "version 1 was taken again"
write_bundle 3 >"$WORK/bundle-forged.ini"
sed 's/.$/0/' "$WORK/bundle-$winner.sig" >"$WORK/bundle-forged.sig"
roll 2 forged >/dev/null 2>&1 && fail "a forged signature was taken"
write_bundle 3 | sed 's/author = ana/author = rosa/' >"$WORK/own.ini"
"$LIMPETHINGE" bundle sign --signer rosa --key-file "$WORK/rosa.key" \
    "$WORK/own.ini" >/dev/null 2>&1 && fail "an author signed his own bundle"
sign 3
roll 3 3 >"$WORK/roll-3" || fail "roll 3: $(cat "$WORK/roll-3")"
for node in 1 2 3; do
	await 5 node_is $node '.bundle == 3'
done
exit $FAILED
