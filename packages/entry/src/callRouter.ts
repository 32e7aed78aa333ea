import type { MemberDirectory, PartitionTable } from '@marjorampin/membership';
import type { Metrics } from '@marjorampin/metrics';
import type { PeerPool } from '@marjorampin/protocol';
import { CallError, type Clock, toCallError } from '@marjorampin/types';
import type { Call } from './calls';
import type { ProgramOwner } from './programOwner';

/** A call looks for a reachable owner for this long, then is refused. */
const OWNER_WAIT_MS = 10_000;
const FIRST_PAUSE_MS = 25;
const LONGEST_PAUSE_MS = 250;

/** Failures after which the call is sent to the owner of that moment; repeats join or replay. */
const REROUTED = ['not-owner', 'stale-epoch', 'connection-lost', 'leaving'];

/** What a router needs. */
export interface CallRouterOptions {
  self: string;
  owner: ProgramOwner;
  table: PartitionTable;
  members: MemberDirectory;
  peers: PeerPool;
  clock: Clock;
  metrics: Metrics;
}

/** Sends each call to the owner of its program's partition, and follows the owner. */
export class CallRouter {
  private readonly options: CallRouterOptions;

  constructor(options: CallRouterOptions) {
    this.options = options;
  }

  /** Returns the answer as JSON; gives the call up at its deadline. */
  async route(call: Call, deadlineMs: number): Promise<string> {
    const { clock } = this.options;
    const routed = new AbortController();
    const deadline = new Promise<never>((_, reject) => {
      clock.sleep(deadlineMs, routed.signal).then(
        () => reject(deadlineExceeded(deadlineMs)),
        // The call ended first.
        () => undefined,
      );
    });
    try {
      return await Promise.race([this.follow(call), deadline]);
    } finally {
      routed.abort();
    }
  }

  private async follow(call: Call): Promise<string> {
    const { clock, metrics } = this.options;
    const giveUpAt = clock.now() + OWNER_WAIT_MS;
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
        const isOver = !REROUTED.includes(error.kind) || clock.now() >= giveUpAt;
        if (isOver || call.signal.aborted) throw mayHaveRun ? unproven(error) : error;
        metrics.count('rerouted_calls_total', { reason: error.kind });
        const pauseMs = Math.min(FIRST_PAUSE_MS * 2 ** (attempt - 1), LONGEST_PAUSE_MS);
        await clock.sleep(pauseMs * (0.5 + Math.random() / 2));
      }
    }
  }

  private async send(call: Call): Promise<string> {
    const { self, owner, table, members, peers } = this.options;
    const assignment = table.get(call.partition);
    if (assignment.owner === self) return owner.execute(call);
    const member = members.get(assignment.owner);
    if (!member) throw noOwner(call.partition);
    const { customer, method, program, body, emittedText, partition } = call;
    const value = { customer, method, program, body, emittedText, partition };
    const { signal, onText } = call;
    const options = { signal, onItem: onText };
    const peer = peers.get(member.address);
    const reply = await peer.call({ case: 'forwardedCall', value }, options);
    if (reply.body.case === 'forwardedResult') return reply.body.value.body;
    const message = `${member.id} answered with "${reply.body.case}"; update it`;
    throw new CallError({ kind: 'internal', message, execution: 'unknown' });
  }
}

/** An earlier attempt may have run the call, so "not run" is not proven by the last one. */
function unproven({ kind, message, retryAfterMs, execution }: CallError): CallError {
  const shown = execution === 'not-run' ? 'unknown' : execution;
  return new CallError({ kind, message, retryAfterMs, execution: shown });
}

function noOwner(partition: number): CallError {
  const message = `partition ${partition} has no live owner yet; retry later`;
  return new CallError({ kind: 'not-owner', message, retryAfterMs: 1_000 });
}

/** The call goes on at its owner; repeating it joins it there. */
function deadlineExceeded(deadlineMs: number): CallError {
  const message = `the call took longer than its deadline of ${deadlineMs} ms; repeat it unchanged to get its answer`;
  const retryAfterMs = 1_000;
  return new CallError({ kind: 'deadline-exceeded', message, execution: 'unknown', retryAfterMs });
}
