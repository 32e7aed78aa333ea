import type { MemberDirectory, PartitionTable } from '@marjorampin/membership';
import type { Metrics } from '@marjorampin/metrics';
import type { PeerPool } from '@marjorampin/protocol';
import { CallError, type Clock, toCallError } from '@marjorampin/types';
import type { Call } from './calls';
import type { ProgramOwner } from './programOwner';
import { replaceNotRun } from './replaceNotRun';

/** Rerouted calls are retried for this long, then fail with the last error. */
const OWNER_RETRY_TIMEOUT_MS = 10_000;
const FIRST_RETRY_DELAY_MS = 25;
const MAXIMUM_RETRY_DELAY_MS = 250;

/**
 * Errors after which a call is sent again, to the current owner of its partition. There, a repeated
 * call joins the running one or gets the stored answer.
 */
const REROUTED_ERROR_KINDS = ['not-owner', 'stale-epoch', 'connection-lost', 'leaving'];

/** Options of `CallRouter`. */
export interface CallRouterOptions {
  /** Id of this entry. */
  self: string;
  /** Executes the calls of partitions that this entry owns. */
  owner: ProgramOwner;
  table: PartitionTable;
  members: MemberDirectory;
  peers: PeerPool;
  clock: Clock;
  metrics: Metrics;
}

/** Sends each call to the owner of its partition, and reroutes it when the owner changes. */
export class CallRouter {
  private readonly options: CallRouterOptions;

  constructor(options: CallRouterOptions) {
    this.options = options;
  }

  /** Returns the answer as JSON; throws `deadline-exceeded` after `deadlineMs` milliseconds. */
  async route(call: Call, deadlineMs: number): Promise<string> {
    const { clock } = this.options;
    const deadlineCancellation = new AbortController();
    const deadline = new Promise<never>((_, reject) => {
      clock.sleep(deadlineMs, deadlineCancellation.signal).then(
        () => reject(deadlineExceeded(deadlineMs)),
        // The call ended before its deadline.
        () => undefined,
      );
    });
    try {
      return await Promise.race([this.sendWithRetries(call), deadline]);
    } finally {
      deadlineCancellation.abort();
    }
  }

  private async sendWithRetries(call: Call): Promise<string> {
    const { clock, metrics } = this.options;
    const retryUntilMs = clock.now() + OWNER_RETRY_TIMEOUT_MS;
    let emittedText = '';
    let mayHaveRun = false;
    const onText = (text: string) => {
      emittedText += text;
      call.onText(text);
    };
    for (let attempt = 1; ; attempt += 1) {
      try {
        return await this.send({ ...call, emittedText, onText });
      } catch (thrown) {
        const error = toCallError(thrown);
        mayHaveRun = mayHaveRun || error.execution !== 'not-run';
        const isFinal = !REROUTED_ERROR_KINDS.includes(error.kind) || clock.now() >= retryUntilMs;
        if (isFinal || call.signal.aborted) throw mayHaveRun ? replaceNotRun(error) : error;
        metrics.count('rerouted_calls_total', { reason: error.kind });
        const delayMs = Math.min(FIRST_RETRY_DELAY_MS * 2 ** (attempt - 1), MAXIMUM_RETRY_DELAY_MS);
        await clock.sleep(delayMs * (0.5 + Math.random() / 2));
      }
    }
  }

  private async send(call: Call): Promise<string> {
    const { self, owner, table, members, peers } = this.options;
    const assignment = table.assignmentOf(call.partition);
    if (assignment.owner === self) return owner.execute(call);
    const ownerMember = members.get(assignment.owner);
    if (!ownerMember) throw noLiveOwner(call.partition);
    const { customer, method, program, body, emittedText, partition } = call;
    const value = { customer, method, program, body, emittedText, partition };
    const { signal, onText } = call;
    const options = { signal, onItem: onText };
    const peer = peers.get(ownerMember.address);
    const reply = await peer.call({ case: 'forwardedCall', value }, options);
    if (reply.body.case === 'forwardedResult') return reply.body.value.body;
    const message = `entry ${ownerMember.id} replied with an unexpected "${reply.body.case}" message; run the same version of marjorampin on all hosts`;
    throw new CallError({ kind: 'internal', message, execution: 'unknown' });
  }
}

function noLiveOwner(partition: number): CallError {
  const message = `partition ${partition} has no live owner; retry later`;
  return new CallError({ kind: 'not-owner', message, retryAfterMs: 1_000 });
}

/** Error when the deadline passes; `execution` is `unknown` because the call continues at its owner,
 * where a repeated call joins it. */
function deadlineExceeded(deadlineMs: number): CallError {
  const message = `the call exceeded its deadline of ${deadlineMs} ms; repeat it unchanged to get its answer`;
  const retryAfterMs = 1_000;
  return new CallError({ kind: 'deadline-exceeded', message, execution: 'unknown', retryAfterMs });
}
