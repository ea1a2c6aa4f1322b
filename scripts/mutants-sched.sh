#!/bin/sh
# Mutation test of the scheduling process: disables one mechanism at a time and
# requires that a unit test then fails.  Arguments: build directory, program
# and test support objects, "--", compiler, flags, "--", libraries.
#
# Each line of the table: mutant, source file, test program, sed expression.
# An expression that changes nothing is an error, so that a changed source line
# cannot silently disable its mutant.
build=$1
shift
objects=
while [ "$1" != "--" ]; do
	objects="$objects $1"
	shift
done
shift
compile=
while [ "$1" != "--" ]; do
	compile="$compile '$1'"
	shift
done
shift
libraries=$*
dir=$build/mutants/sched
mkdir -p "$dir"

mutant_table() {
	cat <<'TABLE'
CONFIRM_BEFORE_STORED|src/shard/shard_calls.c|shard/test_shard_steps|s/worker->in_doubt || !worker->ends_listed ? 0 : worker->ends_stored/worker->ends_applied/
NO_LEASE_WAIT|src/shard/shard_calls.c|shard/test_shard_steps|s/if (now < worker->leases_expired_at)/if (0)/
REFUSAL_ENDS_RUNS|src/shard/shard_calls.c|shard/test_shard_steps|s/if (now < worker->leases_expired_at)/if (now < worker->leases_expired_at \&\& !seems_crashed (worker, now))/
OTHER_ADDRESS_COUNTS|src/shard/shard_calls.c|shard/test_shard_evidence|s/\&\& !is_from_its_address (worker, \&pending))/\&\& is_from_its_address (worker, \&pending))/
ACCEPTED_SINCE_IS_GONE|src/shard/shard_calls.c|shard/test_shard_evidence|s/return run->state == RUN_ACKNOWLEDGED && run->acknowledged_at >= sent/return false/
ENDS_ACKNOWLEDGED_AGAIN|src/shard/shard_calls.c|shard/test_shard_evidence|s/worker->in_doubt || !worker->ends_listed ?/worker->in_doubt ?/
LEASE_WHILE_ON_RECORD|src/shard/shard_calls.c|shard/test_shard_lapsing|s/if (!worker->in_doubt \&\& !worker->lapsing)/if (!worker->in_doubt)/
START_WHILE_ON_RECORD|src/shard/shard_calls.c|shard/test_shard_lapsing|s/worker->in_doubt || worker->lapsing/worker->in_doubt/
LAPSING_NOT_APPLIED|src/shard/shard.c|shard/test_shard_lapsing|s/^  lapsing_apply (shard, now);//
LAPSING_FORGOTTEN|src/shard/shard_lapsing.c|shard/test_shard_lapsing|/in_lapsing_batch)$/,/pack_worker/s/worker->lapsing = true;/;/
LAPSING_IGNORED|src/shard/shard_lapsing.c|shard/test_shard_lapsing|/worker = worker_get (shard, handle);/,/leases_expired_at/s/worker->lapsing = true;/;/
LAPSING_OUTDATED_USED|src/scheduler/sched_store.c|scheduler/test_scheduler|s/state->lapsing_end <= state->progress_offset/0/
LEASE_BOUND_NOT_APPLIED|src/shard/shard.c|shard/test_shard_leases|s/^  lease_bound_apply (shard);//
LEASE_BOUND_TOO_SHORT|src/shard/shard_lease_bound.c|shard/test_shard_leases|s/MIN (worker_lease_limit (shard->config.lease_horizon),/MIN (shard->config.lease_horizon - USEC_PER_SEC,/
LEASE_BOUND_OUTDATED_USED|src/scheduler/sched_store.c|scheduler/test_scheduler|s/state->lease_bound_end <= state->progress_offset/0/
LEASE_BEYOND_HORIZON|src/shard/shard_calls.c|shard/test_shard|s/MIN (shard->config.lease, horizon)/MAX (shard->config.lease, horizon)/
LEASE_LONGER_THAN_HORIZON|src/shard/shard_calls.c|shard/test_shard_leases|s/MIN (shard->config.lease, horizon)/MAX (shard->config.lease, horizon)/
CANCEL_UNRECORDED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/? shard_cancel_unknown (/? shard_cancel (/
CANCEL_FORGOTTEN|src/jobs/job_record.c|shard/test_shard_cancel|s/\.unsubmitted = uint_at (record, 6) != 0/.unsubmitted = false/
CANCEL_NOT_LIMITED|src/shard/shard.c|shard/test_shard_cancel|s/shard->unsubmitted_jobs >= UNSUBMITTED_JOBS_MAX/false/
CANCEL_TAKEN_FOR_KNOWN|src/shard/shard.c|shard/test_shard_cancel|s/|| entry->job->unsubmitted)$/)/
CANCEL_OF_UNKNOWN_UNRECORDED|src/shard/shard.c|shard/test_shard|s/^  if (known != -ENOENT)$/  if (true)/
LATE_SUBMISSION_ACCEPTED_EARLY|src/shard/shard.c|shard/test_shard|s/^      entry->unstored_submission = g_bytes_new (NULL, 0);$/      ;/
REPEATED_CANCEL_NOT_KEPT|src/shard/shard.c|shard/test_shard|s/if (renew_end (shard, entry))/if (0)/
REPEATED_CANCEL_NOT_STORED|src/shard/shard_store.c|shard/test_shard_cancel|s/ || entry->renewed)/)/
STAYS_AFTER_LATE_JOIN|src/scheduler/sched_group.c|scheduler/test_scheduler|s/if (member \&\& is_stale_member (s, member))/if (0)/
EXPIRED_IS_LEFT|src/shard/shard_calls.c|shard/test_shard_evidence|s/if (now < worker->leases_expired_at)/if (now < worker->leases_expired_at \&\& (worker->listed || !worker->leaving))/
STALE_OWNER_EXTENDS|src/shard/shard_calls.c|shard/test_shard_steps|s/if (now - shard->confirmed_at > .*)/if (0)/
NOT_SUPERSEDED|src/shard/shard_calls.c|shard/test_shard_steps|s/shard_supersede (shard, worker->id);//
STRAY_LISTED_LATE|src/shard/shard_calls.c|shard/test_shard_steps|s/if (worker->stray_runs)$/if (0)/
CANCELED_RUNS_ON|src/shard/shard.c|shard/test_shard|s/^  run_stop_job (shard, now, job, job_status_name (end));//
STRAY_RUNS_ON|src/shard/shard_calls.c|shard/test_shard_steps|s/send_stop (shard, now, handle, &report->run_id, HANDLE_NONE);//
START_SENT_TWICE|src/shard/shard_runs.c|shard/test_shard|s/run->state == RUN_STARTING && !run->start_sent/run->state == RUN_STARTING/
LETTERS_DROPPED|src/jobs/jobs.c|jobs/test_jobs|s/capitals = capitals << 1 .*/capitals = 0;/
LETTERS_NOT_WRITTEN|src/jobs/jobs.c|scheduler/test_records|s/out\[JOB_ID_DIGITS - 1 - i\]$/;/;s/= g_ascii_toupper (out\[JOB_ID_DIGITS - 1 - i\])/;/
LETTERS_NOT_COMPARED|src/jobs/jobs.c|shard/test_shard_letters|s/return \*(const job_id_t \*)left == .*/return (uint64_t)*(const job_id_t *)left == (uint64_t)*(const job_id_t *)right;/
LETTERS_NOT_STORED|src/jobs/job_record.c|jobs/test_jobs|s/field ? field - LETTERS_KNOWN : 0/0/
LETTERS_OF_END_NOT_STORED|src/jobs/job_record.c|jobs/test_jobs|s/job->end_status != JOB_QUEUED \&\& !job->letters_unknown/false/
LETTERS_OF_EARLIER_BUILD|src/shard/shard.c|shard/test_shard_letters|s/if (entry || !job_id_capitals (job))/if (true)/
ANY_LETTERS_MATCH|src/shard/shard.c|shard/test_shard_letters|s/entry \&\& entry->job \&\& entry->job->letters_unknown ? entry : NULL/entry/
LETTERS_IN_KEY_UNMARKED|src/scheduler/sched_store.c|scheduler/test_records|s/key\[len++\] = RECORD_KEY_MARK/(void)len/
KEY_WITH_LETTERS_READ|src/scheduler/sched_store.c|scheduler/test_records|s/return marked == (job_id_capitals (\*job) != 0)/return true/
LETTERS_OF_PEERS_DROPPED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/job_id_make (ask->job, ask->kind >> CAPITALS_SHIFT)/ask->job/
SHARD_BY_LETTERS|src/scheduler/scheduler.c|scheduler/test_records|s/job_id_number (job) \*/(uint64_t)(job ^ job >> 64) */
STRAY_AT_RESTART_IGNORED|src/shard/shard_calls.c|shard/test_shard_stray|s/^  stray_note (shard, now, worker);/;/
STRAY_CALL_IGNORED|src/shard/shard_calls.c|shard/test_shard_stray|s/if (pending.has_lease \&\& pending.started_ms != worker->started_ms)/if (false)/
STRAY_UNNOTICED|src/shard/shard_calls.c|shard/test_shard_stray|s/^      stray_note_taken_over (shard, now, worker);/;/
STRAY_WITHOUT_PREDECESSOR|src/shard/shard_stray.c|shard/test_shard_stray|s/if (shard->has_predecessor/if (true/
STRAY_UNHEARD|src/shard/shard_calls.c|shard/test_shard_stray|s/if (!reply->started_ms \&\& is_from_next_incarnation (worker, \&pending, reply))/if (false)/
STRAY_BY_DISORDER|src/shard/shard_workers.c|shard/test_shard_stray|s/^  if (passed <= 0)$/  if (true)/
STRAY_NOT_STORED|src/shard/shard_lease_bound.c|shard/test_shard_stray|s/^  stray_encode (shard, now, out);/;/
STRAY_NOT_APPLIED|src/shard/shard_lease_bound.c|shard/test_shard_stray|s/^  stray_apply (shard);/;/
LONG_RUNNING_ON_STRAY|src/shard/shard_choose.c|shard/test_shard_stray|s/step->long_running \&\& stray_outlasts (shard, now, worker)/false/
GANG_FAILS_BY_MEMBER|src/jobs/jobs.c|shard/test_shard_gangs|s/if (run > occurrence->failed_run\[step\])/if (true)/
GANG_FAILURE_NOT_STORED|src/jobs/job_record.c|shard/test_shard_gangs|s/i ? 0 : occurrence->failed_run\[s\]/0/;s/^  occurrence->failed_run\[step\] = ended;/;/
GANG_FAILURE_OF_FORMER_BUILD|src/jobs/job_record.c|jobs/test_jobs|s/^  occurrence->failed_run\[step\] = ended;/;/
GANG_FAILURES_NOT_LIMITED|src/jobs/job_record.c|jobs/test_jobs|s/MIN (first->failures, ended)/first->failures/
NO_ATTEMPT_LIMIT|src/shard/shard_runs.c|shard/test_shard|s/failures >= MAX (job->submission->max_attempts, 1)/failures > 1000/
SAME_RUN_NUMBER|src/jobs/jobs.c|jobs/test_jobs|s/task->run++;//
NO_STEP_ORDER|src/jobs/jobs.c|jobs/test_jobs|s/if (occurrence->unfinished\[s->depends_on\[i\]\])/if (0)/
NO_CAPACITY|src/shard/shard_choose.c|shard/test_shard_capacity|s/worker->used_millicores + step->millicores > worker->millicores/false/
START_ON_UNLISTED|src/shard/shard_withdraw.c|shard/test_shard_steps|s/if (!worker->listed)/if (0)/
REPEATED_ON_LEAVING|src/shard/shard_withdraw.c|shard/test_shard_steps|s/if (worker->leaving)/if (0)/
START_ON_LEAVING|src/shard/shard_choose.c|shard/test_shard_steps|s/worker->leaving ||//
PARTIAL_GANG|src/shard/shard_place.c|shard/test_shard_steps|s/undo_gang_placement (shard, now, c, i);//
HARM_GOES_ON|src/shard/shard_sharing.c|shard/test_shard_sharing|s/run->measure > run->target_ms \&\& worker->best_effort_runs/false/
DISTURBING_TASK_WAITS|src/shard/shard_waits.c|shard/test_shard_sharing|s/now - entry->idle_since >= STARVED_AFTER/false/
IMPOSED_STOPPED_AT_ONCE|src/shard/shard_sharing.c|shard/test_shard_sharing|s/if (worker->imposed_since)$/if (0)/
IMPOSED_TIME_BEGINS_ANEW|src/shard/shard_sharing.c|shard/test_shard_sharing|s/if (!over \&\& !worker->imposed_since)/if (!over)/
IMPOSED_WITHOUT_PAUSE|src/shard/shard_sharing.c|shard/test_shard_sharing|s/now >= worker->impose_due/true/
IMPOSED_OVER_TARGET|src/shard/shard_sharing.c|shard/test_shard_sharing|s/^    worker->impose_due = now + IMPOSE_PAUSE;/;/
PLACED_BESIDE_IMPOSED|src/shard/shard_sharing.c|shard/test_shard_sharing|s/if (worker->over_target_since || worker->imposed_since)/if (worker->over_target_since)/
IMPOSED_WITHOUT_ROOM|src/shard/shard_choose.c|shard/test_shard_sharing|s/return 2 \* reserved < capacity/return true/
CANCEL_NOT_STORED|src/shard/shard.c|shard/test_shard_steps|s/if (entry->stored_end == JOB_QUEUED)/if (0)/
ACCEPTED_NOT_STORED|src/shard/shard.c|shard/test_shard_steps|s/entry->unstored_submission ? -EINPROGRESS : 0/0/
SECOND_SUBMISSION_COUNTS|src/shard/shard.c|shard/test_shard_steps|s/^  if (entry->job)$/  if (0)/
LOAD_WITHOUT_FENCE|src/scheduler/sched_store.c|scheduler/test_scheduler|s/if (state->fenced)/if (1)/
CONFIG_GOES_BACK|src/scheduler/sched_operator.c|scheduler/test_scheduler|s/queues_version (queues) <= queues_version (s->queues)/false/
OLD_CONNECTION_USED|src/net/http_client.c|net/test_http_client|s/CURLOPT_MAXLIFETIME_CONN, age_s - 1/CURLOPT_MAXLIFETIME_CONN, age_s/;s/age_s > 1/age_s > 0/
NEW_CONNECTION_KEPT|src/net/http_client.c|net/test_http_client|s/CURLOPT_FORBID_REUSE, 1L/CURLOPT_FORBID_REUSE, 0L/
UNKNOWN_IS_REFUSED|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/bool unknown = submits/bool unknown = false/
PAUSE_IS_STALL|src/shard/shard_calls.c|shard/test_shard_steps|s/bool silent = now - worker->last_answer > MAX_LIST_GAP/bool silent = false/
FORMER_LIFE_COUNTS|src/shard/shard_calls.c|shard/test_shard_steps|s/if (is_from_former_incarnation (worker, &pending, reply))/if (false)/
PAUSED_OWNER_STARTS|src/shard/shard_calls.c|shard/test_shard_steps|s/return now + HOLD_RETRY;/;/
GONE_WORKER_USED|src/shard/shard_choose.c|shard/test_shard_steps|s/!worker->listed ||//
KNOWN_IS_REFUSED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/shard_is_active (own) ? shard_submission_state (own, job) : -ENOENT/-ENOENT/
LEAVE_BEFORE_JOIN|src/scheduler/sched_group.c|scheduler/test_scheduler|s/      s->leave_due = now;$/      ;/
DEAD_MEMBER_STAYS|src/scheduler/sched_member.c|scheduler/test_scheduler|s/return sched_owns_any_shard (s)$/return true/
LOST_APPEND_WAITS|src/scheduler/sched_store.c|scheduler/test_scheduler|s/define APPEND_TIMEOUT_MIN (300/define APPEND_TIMEOUT_MIN (1200/
READ_REPEATED_AS_IS|src/scheduler/sched_store.c|scheduler/test_scheduler|s/^    state->unanswered_reads++;/    ;/
EACH_QUERY_RECONNECTS|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/.replied_at < request->query_sent/.replied_at >= 0/
LARGEST_OWNS_NOTHING|src/scheduler/sched_layout.c|scheduler/test_scheduler|s/(layout->millicores$/(0/
WITHDRAWN_FORWARDED_AGAIN|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/now + FORWARD_SPAN_MIN > request->deadline/false/
PEER_NUMBERS_UNCHECKED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/m->code < REPLY_KNOWN || m->code > REPLY_FULL/false/
MEMORY_NOT_BOUNDED|src/shard/shard_memory.c|shard/test_shard_memory|s/return !shard->config.job_bytes$/return true/
OCCURRENCES_NOT_BOUNDED|src/shard/shard_memory.c|shard/test_shard_memory|s/|| fits (shard, entry->occurrence_bytes)/|| true/
DECODED_BEFORE_BOUND|src/shard/shard.c|shard/test_shard_memory|s/if (shard_check_room (shard, job, record.len))/if (false)/
LARGE_JOB_NOT_BOUNDED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/int code = shard_check_room (shard, job, record_len)/int code = 0/
ENDED_JOB_COUNTS|src/shard/shard.c|shard/test_shard_memory|/^  job_free_details (job);/,/memory_update/s/memory_update (shard, entry);//
FORGOTTEN_JOB_COUNTS|src/shard/shard_store.c|shard/test_shard_memory|s/memory_remove (shard, entry);//
DONE_OCCURRENCE_COUNTS|src/shard/shard_runs.c|shard/test_shard_memory|s/^  memory_update (shard, entry);//
STORED_RECORD_COUNTS|src/shard/shard_store.c|shard/test_shard_memory|s/memory_update (shard, entry);//
WITHDRAWN_JOB_COUNTS|src/shard/shard.c|shard/test_shard_memory|s/memory_remove (shard, entry);//
FORMER_JOBS_COUNT|src/shard/shard.c|shard/test_shard_memory|s/memory_clear (shard);//
KNOWN_JOB_IS_BOUND|src/shard/shard.c|shard/test_shard_memory|s/|| (entry && entry->job)$//
FULL_BEFORE_READ|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/s->shards.query->shard.*read_as_of < query->arrived_at/false/
FULL_WITHOUT_READ|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/query->kind != QUERY_SUBMIT || query->full/query->kind != QUERY_SUBMIT/
APPENDS_NOT_BOUNDED|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/if (!may_append (s, request->record->len))/if (false)/
NAMELESS_STORED|src/interference/interference.c|shard/test_shard_sharing|s/^      if (!key)$/      if (false)/
QUERIES_NOT_BOUNDED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/if (s->deferred_queries->len >= DEFERRED_QUERIES_MAX)/if (false)/
FULL_IS_RETRIED|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/return REPLY_FULL/return REPLY_NOT_STORED/
FULL_IS_APPENDED|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/^  if (request->may_be_stored)$/  if (true)/
STORED_IS_REFUSED|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/^  if (request->may_be_stored)$/  if (false)/
CARRIED_IS_WITHDRAWN|src/shard/shard.c|shard/test_shard_steps|s/ || shard_append_has_submission (shard, id)//
STORED_IS_WITHDRAWN|src/shard/shard.c|shard/test_shard_steps|s/^      if (entry->unstored_submission)$/      if (0)/
UNREAD_IS_UNKNOWN|src/scheduler/sched_asks.c|scheduler/test_scheduler|s/if (state->read_as_of >= query->arrived_at)/if (timed_out)/
PARTIAL_READ_IS_COMPLETE|src/scheduler/sched_store.c|scheduler/test_scheduler|s/^  if (records->has_more)$/  if (0)/
WITHDRAWN_STAYS|src/shard/shard.c|shard/test_shard_steps|s/  g_hash_table_remove (shard->jobs, &id);//
JOINS_WITH_AN_OWNER|src/scheduler/sched_member.c|scheduler/test_scheduler|s/if (!s->unowned \&\&/if (0 \&\&/
MEMBER_STAYS|src/scheduler/sched_member.c|scheduler/test_scheduler|s/return sched_owns_any_shard (s)$/return true/
APPENDS_AT_ONCE|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/request->deadline - APPEND_RESERVE/now/
IMAGES_SPREAD|src/shard/shard_choose.c|shard/test_shard_sharing|s/result += score_of_images (shard, worker, c->image);/(void)score_of_images;/
EVACUATION_IGNORED|src/shard/shard_choose.c|shard/test_shard_zones|s/if (worker->evacuated)/if (0)/
EVACUATED_START_SENT|src/shard/shard_withdraw.c|shard/test_shard_zones|s/if (worker->evacuated)/if (0)/
OLD_VIEW_OF_ZONES|src/shard/shard_zones.c|shard/test_shard_zones|s/return !shard->config.zones/return true/
GANG_MEMBER_WITHDRAWN|src/shard/shard_runs.c|shard/test_shard_zones|s/^  break_gang (shard, now, .run_id);//
SHRUNK_START_SENT|src/shard/shard_withdraw.c|shard/test_shard_capacity|s/if (worker_is_over_capacity (worker))/if (0)/
OVERFULL_WORKER_USED|src/shard/shard_choose.c|shard/test_shard_capacity|s/if (worker_is_over_capacity (worker))/if (0)/
STRAY_RUNS_UNCOUNTED|src/shard/shard_calls.c|shard/test_shard_capacity|s/worker->stray_runs++;//
OLD_LIST_OF_WORKERS|src/shard/shard_workers.c|shard/test_shard|s/return now - shard->workers_known_at <= .*/return true/
PARTIAL_LIST_CONFIRMS|src/scheduler/sched_workers.c|scheduler/test_workers|s/if (!records->has_more)/if (1)/
ODD_RACK_USED|src/scheduler/sched_workers.c|scheduler/test_workers|s/if (!check_shard (s, now, .info, known))/if (0)/
OTHER_OWNERS_NOT_DECODED|src/scheduler/sched_workers.c|scheduler/test_workers|s/contains (record->value, rack)/record->value.len/
MOVED_WORKER_CALLED|src/shard/shard_workers.c|shard/test_shard_steps|s/->moved = true;/->moved = false;/
LATER_START_IS_RESTART|src/shard/shard_calls.c|shard/test_shard_steps|s/worker->started_ms = 0;/;/
OPERATOR_PAGE_LOST|src/scheduler/sched_operator.c|scheduler/test_operator|s/log->more_pages = records->has_more .*/log->more_pages = false;/
PARTIAL_READ_CONFIRMS|src/scheduler/sched_operator.c|scheduler/test_operator|s/if (!records->has_more)/if (1)/
ZONE_NOT_TAKEN_BACK|src/zones/zones.c|zones/test_zones|s/changed |= set_evacuated (zones, now, zone, false);//
ZONE_GOES_BACK|src/zones/zones.c|zones/test_zones|s/version <= zone->version/false/
STOP_MOVES_EVIDENCE|src/shard/shard_calls.c|shard/test_shard_settle|s/if (!run->stops_answered)/if (1)/
RESTART_KEEPS_STOP|src/shard/shard_runs.c|shard/test_shard_settle|s/  run->state = RUN_STARTING;//
FORMER_STOP_COUNTS|src/shard/shard_calls.c|shard/test_shard_settle|s/return pending->kind != SHARD_HOLD;/return false;/
LOSSES_NOT_COUNTED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/->losses++;/->losses += 0;/
LOSSES_NOT_STORED|src/jobs/job_record.c|shard/test_shard_crashes|s/task->losses = read_losses (task, state, fields);//
LOSSES_ALONE_FAIL_JOBS|src/shard/shard_crashes.c|shard/test_shard_crashes|s/^  return task->crashes >= CRASHES_OF_REPEATED_LOSS$/  return true/
NO_DELAY_AFTER_LOSSES|src/shard/shard_place.c|shard/test_shard_crashes|s/ || crashes_delay (now, task)//
SUSPECT_ALONE_NOT_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (is_alone (worker, run))/if (0)/
SILENT_RACK_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (worker->crash_was_silent)/if (0)/
LAPSE_NOT_COUNTED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/^  if (!has_stopped (worker))$/  if (0)/
CRASH_NOT_COUNTED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/->crashes++;/->crashes += 0;/
CRASHES_NOT_STORED|src/jobs/job_record.c|shard/test_shard_crashes|s/task->crashes = read_crashes (task, state, fields);//
UNCOUNTED_CRASHES|src/jobs/job_record.c|scheduler/test_records|s/return MIN (uncounted_runs (task, state), 1U);/return 0;/
LATER_SETTINGS_REFUSED|src/scheduler/settings.c|scheduler/test_scheduler|s/if (!g_array_index (problems, problem_t, i).unknown)/if (true)/
LATER_FRAMES_REFUSED|src/net/peerlink.c|net/test_peerlink|s/if (code == -ENOMSG \&\& in->node)/if (false)/
WITHOUT_HELLO_UNBOUNDED|src/net/peerlink.c|net/test_peerlink|s/link->without_hello.length >= MAX_WITHOUT_HELLO/false/
EVICTED_UNREAD|src/net/peerlink.c|net/test_peerlink|/^evict_without_hello/,/^}/s/if (read_inbound (in) \&\& !in->node)/if (true)/
OLDEST_OF_ALL_EVICTED|src/net/peerlink.c|net/test_peerlink|s/if (count > most)/if (!found)/
LARGE_FIRST_FRAME|src/net/peerlink.c|net/test_peerlink|s/in->node ? PEERLINK_MAX_FRAME_BYTES : MAX_HELLO_FRAME_BYTES/PEERLINK_MAX_FRAME_BYTES/
SMALL_FRAMES_ONLY|src/net/peerlink.c|net/test_peerlink|s/in->node ? PEERLINK_MAX_FRAME_BYTES : MAX_HELLO_FRAME_BYTES/MAX_HELLO_FRAME_BYTES/
HELLO_NEVER_DUE|src/net/peerlink.c|net/test_peerlink|s/if (++in->ticks <= HELLO_TICKS)/if (true)/
HELLO_DUE_BY_CLOCK|src/net/peerlink.c|net/test_peerlink|s/if (++in->ticks <= HELLO_TICKS)/if (clock_now () <= 105 * USEC_PER_SEC)/
LATE_HELLO_UNREAD|src/net/peerlink.c|net/test_peerlink|/^on_tick/,/^}/s/if (read_inbound (in) \&\& !in->node)/if (true)/
INCOMPLETE_UNBOUNDED|src/net/peerlink.c|net/test_peerlink|s/link->incomplete_bytes + more > MAX_INCOMPLETE_BYTES/false/
ANY_INCOMPLETE_CLOSED|src/net/peerlink.c|net/test_peerlink|s/if (largest == in)/if (true)/
COMPLETE_FRAMES_COUNT|src/net/peerlink.c|net/test_peerlink|s/^  in->link->incomplete_bytes -= in->buffer_size;//
ACCEPT_SPINS|src/net/peerlink.c|net/test_peerlink|/^pause_accepting/,/^}/s/ev_io_stop (link->loop, &link->listen_io);//
HELLO_OF_NOBODY|src/net/peerlink.c|net/test_peerlink|s/if (!(node_id_t)hello->node)/if (false)/
FRAME_LINES_UNBOUNDED|src/net/peerlink.c|net/test_peerlink|s/link->frame_lines >= FRAME_LINES_MAX/false/
LIMIT_LINES_UNBOUNDED|src/net/peerlink.c|net/test_peerlink|s/now - link->events_logged_at < LOG_INTERVAL/false/
RECEIVE_BUFFER_KEPT|src/scheduler/sched_limits.c|scheduler/test_limits|s/while (\*buffer > RECEIVE_BUFFER_MIN/while (false/
CONNECTIONS_EXCEED_MEMORY|src/scheduler/sched_limits.c|scheduler/test_limits|s/define CONNECTIONS_DIVISOR 3U/define CONNECTIONS_DIVISOR 1U/
DESCRIPTORS_NOT_RESERVED|src/scheduler/sched_limits.c|scheduler/test_limits|s/MIN (RESERVED_DESCRIPTORS, descriptors \/ 2)/0/
PLACED_WORKER_KEPT|src/shard/shard_place.c|shard/test_shard_capacity|s/^  choose_placed (shard, now, c, handle);//
STALE_FITTING|src/shard/shard_place.c|shard/test_shard_steps|s/^  choose_reset (shard);//
SUSPECTS_TOGETHER|src/shard/shard_choose.c|shard/test_shard_crashes|s/if (crashes_keep_apart (worker, task))/if (0)/
FRESH_TASK_IS_NO_CAUSE|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (other->run_id.job != run->run_id.job)/if (0)/
CRASH_COUNTS_FOR_EACH_OWNER|src/shard/shard_runs.c|shard/test_shard_crashes|s/^          = worker_get (shard, run->worker)->started_ms;/          = task_run_place (task, run->run_id.run)->life_ms;/
FRESH_BESIDE_SUSPECT|src/shard/shard_crashes.c|shard/test_shard_crashes|s/^                              : SUSPICION_STRONG\]/: SUSPICION_STRONG] * (task->crashes != 0)/
SUSPECT_NOT_CLEARED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/^  task->crashes = 0;/  ;/
CLEARING_NOT_STORED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/shard_mark_dirty (shard, shard_entry (shard, run->run_id.job));//
RACK_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/return in_rack \&\& !rack_works;/return false;/
COMMON_CAUSE_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/\&\& crashed_without_start (shard, now, other))/\&\& false)/
DOWN_AT_TAKEOVER_IS_COMMON|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (together \&\& other->fenced/if (together/
SILENCE_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/first_refusal - worker->in_doubt_since > REFUSAL_DELAY/false/
SUCCESSOR_BLIND|src/shard/shard_crashes.c|shard/test_shard_crashes|s/worker->last_answer != shard->owned_since/true/
LEAVING_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (has_stopped (worker) ||/if (/
LEAVING_IS_COMMON|src/shard/shard_crashes.c|shard/test_shard_crashes|s/if (has_stopped (other) || /if (/
LATE_NOTICE_CLEARS|src/shard/shard_crashes.c|shard/test_shard_crashes|s/worker->leaving_known_at <= worker->in_doubt_since/true/
LATE_CRASH_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/|| earliest_crash (shard, worker) - latest_start (run) < CRASH_WINDOW;/|| true;/
REPEATED_START_FORGOTTEN|src/shard/shard_crashes.c|shard/test_shard_crashes|s/return run->start_unanswered ? MAX/return false ? MAX/
LATE_LIST_TAKEN_FOR_RECENT|src/shard/shard_workers.c|shard/test_shard_crashes|s/return MAX (worker_clock (worker, now) - worker_ms, 0)/return 0/
LATE_LIST_CLEARS|src/shard/shard_crashes.c|shard/test_shard_crashes|s/run->first_listed_ms = clock_ms;/run->first_listed_ms = clock_ms - 1500;/
PAUSED_OWNER_BLIND|src/shard/shard_crashes.c|shard/test_shard_crashes|s/in_doubt_since - worker->last_answer > shard->config.poll_idle/in_doubt_since < 0/
UNANSWERED_NOT_BLAMED|src/shard/shard_crashes.c|shard/test_shard_crashes|s/^         || run->start_sent;/|| run->start_unanswered;/
LATE_REQUESTS_CUT|src/scheduler/scheduler.c|scheduler/test_scheduler|s/^  httpd_catch_up (s->callers);//
LAST_ANSWERS_CUT|src/scheduler/scheduler.c|scheduler/test_scheduler|s/^      httpd_catch_up (s->callers);//
LAST_CONNECTIONS_CUT|src/scheduler/scheduler.c|scheduler/test_scheduler|s/define STOP_READ_TIME (20/define STOP_READ_TIME (0/
LARGE_RECORD_STORED|src/shard/shard_store.c|shard/test_shard_store|s/if (value->len <= SHARD_VALUE_MAX_BYTES)/if (true)/
UNCHANGED_GANG_STORED|src/shard/shard_place.c|shard/test_shard_store|s/if (!was_dirty)/if (false)/
RESTART_FORGOTTEN|src/shard/shard_calls.c|shard/test_shard_settle|s/worker->restarted |= /worker->restarted = /
SHORT_STOPS_ONLY|src/shard/shard_calls.c|shard/test_shard_settle|s/define STOPS_WITHOUT_ANSWER 6U/define STOPS_WITHOUT_ANSWER 600U/
UNBOUNDED_OCCURRENCES|src/jobs/jobs.c|jobs/test_jobs|s/JOB_MAX_TASKS;$/JOB_MAX_TASKS * 4;/
EVICTED_RUNS|src/net/httpd.c|net/test_httpd|s/if (client->closing)/if (0)/
REFUSED_IS_RESET|src/net/httpd.c|net/test_httpd|s/pending->client->linger = true;/;/
OVERSIZE_STAYS_RESERVED|src/net/httpd.c|net/test_httpd|s/conn_limits_release (httpd->limits, pending->client->conn);/;/
OVERSIZE_IS_READ|src/net/httpd.c|net/test_httpd|s/pending->declared > httpd->max_body)/0)/
OVERSIZE_READ_TO_ITS_END|src/net/httpd.c|net/test_httpd|s/if (pending->received > 2ULL \* httpd->max_body)/if (0)/
ANSWERS_NOT_BOUNDED|src/net/httpd.c|net/test_httpd|s/if (!conn_limits_admits (httpd->limits))$/if (0)/
LIMIT_LINES_NOT_BOUNDED|src/net/httpd.c|net/test_httpd|s/now - httpd->logged_at < LOG_INTERVAL_S/now < 0/
ACCEPT_SPINS|src/net/acceptor.c|net/test_httpd|/paused (acceptor->ctx/,/ev_timer_stop/s/ev_io_stop (acceptor->loop, &acceptor->io);/;/
RUNNING_IS_EVICTED|src/net/conn_limits.c|net/test_conn_limits|s/lists\[LIST_IDLE\])/lists[LIST_RUNNING])/
NEWEST_IS_SLOWEST|src/net/conn_limits.c|net/test_conn_limits|s/return b_sweeps ? b : a;/return b;/
ANSWERS_HAVE_NO_TIMEOUT|src/net/conn_limits.c|net/test_conn_limits|s/LIST_BODY, LIST_ANSWERING };/LIST_BODY };/
ANSWERS_STAY_RESERVED|src/net/conn_limits.c|net/test_conn_limits|s/limits->answer_bytes -= conn->answer_bytes;/;/
COPY_OF_PUNCTUAL_RUN|src/copies/copies.c|shard/test_shard_copies|s/c->ran_ms <= LATE_FACTOR \* (int64_t)c->expected_ms/0/;s/c->ran_ms <= (int64_t)c->expected_ms + LATE_BY_MS/0/
COPY_BEFORE_WAITING|src/copies/copies.c|shard/test_shard_copies|s/c->waiting_tasks ||/0 ||/
COPY_AT_TAKEOVER|src/copies/copies.c|shard/test_shard_copies|s/c->ms_since_takeover < SETTLED_AFTER_MS/0/
COPY_OF_LAST_ATTEMPT|src/copies/copies.c|shard/test_shard_copies|s/c->failures + 1 >= c->max_attempts/0/
COPIES_WITHOUT_BUDGET|src/copies/copies.c|shard/test_shard_copies|s/return c->copy_millicores \* 100 < .*/return true;/
COPY_FROM_FEW_RUNS|src/copies/copies.c|copies/test_copies|s/define MIN_RUNS_DONE 3U/define MIN_RUNS_DONE 1U/
DURATIONS_KEPT|src/copies/copies.c|copies/test_copies|s/^  g_hash_table_foreach_remove .*/  (void)is_of_job; (void)job; (void)copies;/
COPY_WITHOUT_FLAG|src/jobs/jobs.c|shard/test_shard_copies|s/return step->speculative \&\&/return/
COPY_OF_GANG|src/jobs/jobs.c|shard/test_shard_copies|s/step->speculative \&\& !step->gang \&\& !step->long_running/step->speculative/
COPY_READ_FOR_GANG|src/jobs/job_record.c|jobs/test_jobs|s/step_allows_copies (.*)$/true/
EARLIER_BUILD_REPEATS_NUMBER|src/jobs/job_record.c|jobs/test_jobs|s/= task->copy ? \&task->copy->place : \&task->place;/= \&task->place;/
COPY_OF_COPY|src/shard/shard_copies.c|shard/test_shard_copies|s/task \&\& !task->copy \&\&/task \&\&/
COPY_ON_OWN_WORKER|src/shard/shard_choose.c|shard/test_shard_copies|s/if (fitting->worker == own || /if (/;s/s += SCORE_OF_SAME_RACK;/;/
COPY_ON_SAME_RACK|src/shard/shard_choose.c|shard/test_shard_copies|s/s += SCORE_OF_SAME_RACK;/;/
COPY_STARTED_LATE|src/shard/shard_withdraw.c|shard/test_shard_copies|s/if (run->copy \&\& now - run->placed_at > COPY_START_LIMIT)/if (0)/
LOST_RUN_GOES_ON|src/shard/shard_runs.c|shard/test_shard_copies|s/^  run_stop (shard, now, other, .*/  (void)other;/
LOST_RUN_KEEPS_TASK|src/shard/shard_runs.c|shard/test_shard_copies|s/run_get (shard, other)->lost = true;//
LOST_RUN_IS_STRAY|src/shard/shard_calls.c|shard/test_shard_copies|s/return find_lost_run (shard, worker, run_id);/(void)find_lost_run; return HANDLE_NONE;/
ONE_RUN_ENDS_BOTH|src/shard/shard_runs.c|shard/test_shard_copies|s/^  if (task->copy)$/  if (0)/
CANCELED_COPY_GOES_ON|src/shard/shard_runs.c|shard/test_shard_copies|/^add_handles/,/^}/s/if (task->copy)/if (0)/
COPY_FORGOTTEN|src/jobs/job_record.c|shard/test_shard_copies|s/bool older = .*/bool older = false;/
COPY_NOT_ADOPTED|src/shard/shard_runs.c|shard/test_shard_copies|s/^                adopt_run (shard, job, occurrence, s, i, true);/;/
COPY_CHECKPOINT_USED|src/shard/shard_calls.c|shard/test_shard_copies|s/if (!run->copy)$/if (1)/
COPY_BEFORE_STORED|src/shard/shard_copies.c|shard/test_shard_copies|s/other, RUN_UNSTORED, true/other, RUN_STARTING, true/
COPY_CHECKPOINT_KEPT|src/shard/shard_runs.c|shard/test_shard_copies|s/if (!run->copy)$/if (1)/
SERVICE_OF_ACCEPTANCE|src/shard/shard_services.c|shard/test_shard_services|s/ || !job_set_service (job, service, version))/ || job)/
SERVICE_NOT_STORED|src/shard/shard_services.c|shard/test_shard_services|s/^  shard_mark_dirty (shard, entry);//
SERVICE_FORGOTTEN|src/jobs/job_record.c|shard/test_shard_services|s/bool moved = .*/bool moved = false;/
SERVICE_NOT_READ|src/jobs/job_record.c|shard/test_shard_services|s/^      read_service (job, record);/      (void)read_service;/
SERVICE_OF_OLDER_CONFIG|src/jobs/jobs.c|shard/test_shard_services|s/if (version <= submission->config_version)/if (0)/
SERVICE_NOT_SET_AT_TAKEOVER|src/shard/shard.c|shard/test_shard_services|s/^  services_follow (shard, entry);//
VERSION_NOT_ACCEPTED|src/scheduler/sched_callers.c|scheduler/test_scheduler|s/^  parsed->config_version = .*//
CONFIG_NOT_PASSED_ON|src/scheduler/sched_operator.c|scheduler/test_operator|s/^    shard_queues_changed (.*/    (void)i;/
NO_DEADLINE_OF_OWN|src/net/http_client.c|net/test_http_client|s/^    clock_timer_start (&transfer->overdue_timer,$/    (void)(0,/
OVERDUE_NOT_COUNTED|src/net/http_client.c|net/test_http_client|s/^  counter_add (COUNTER_REQUESTS_OVERDUE, 1);//
NOTHING_KEPT|src/shard/shard_reserve.c|shard/test_shard_reserve|s/return lost <= 0 ||.*/return lost >= 0;/
KEPT_FROM_NEXT_RUN|src/shard/shard_reserve.c|shard/test_shard_reserve|s/ \&\& !task->run;/ \&\& task;/
KEPT_FOR_LESS_URGENT|src/shard/shard_reserve.c|shard/test_shard_reserve|s/if (reserve->priority > priority$/if (false/
KEPT_FOR_GOOD|src/shard/shard_reserve.c|shard/test_shard_reserve|s/> FORGET_AFTER)/> FORGET_AFTER * 9)/
KEPT_IN_FRAGMENTS|src/shard/shard_reserve.c|shard/test_shard_reserve|s/return room >= shard->kept.width ? room : 0;/return room;/
KEPT_BELOW_HALF|src/shard/shard_reserve.c|shard/test_shard_reserve|s/ || 2 \* kept->used < kept->capacity)/)/
KEPT_STEP_STOPS|src/shard/shard_place.c|shard/test_shard_reserve|s/\&\& !shard->held_back)$/)/
LOST_RUN_BLAMED|src/shard/shard_crashes.c|shard/test_shard_copies|s/if (run->lost || run->lived/if (run->lived/
TABLE
}

status=0
while IFS='|' read -r name source program expression; do
	mutated_source=$dir/$name.c
	sed "$expression" "$source" >"$mutated_source"
	if cmp -s "$source" "$mutated_source"; then
		echo "FAIL     $name does not match any line of $source"
		status=1
		continue
	fi
	object=$build/${source%.c}.o
	test_object=$build/src/$program.o
	other_objects=
	for o in $objects; do
		case $o in
		"$object" | */test_*) ;;
		*) other_objects="$other_objects $o" ;;
		esac
	done
	if ! eval "$compile -Wno-error -w -o '$dir/$name' '$mutated_source' \
		$test_object $other_objects $libraries" 2>"$dir/$name.log"; then
		echo "FAIL     $name does not build, see $dir/$name.log"
		status=1
		continue
	fi
	if timeout 120 "$dir/$name" >"$dir/$name.log" 2>&1; then
		echo "SURVIVED $name"
		status=1
	else
		echo "killed   $name:" \
			"$(grep -m 1 -e 'had failures' -e 'ERROR' "$dir/$name.log")"
	fi
done <<EOF
$(mutant_table)
EOF
exit $status
