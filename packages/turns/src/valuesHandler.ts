import { type EndpointReport, PeerHandler, type Request } from '@marjorampin/protocol';
import type { WatchedPrefix } from '@marjorampin/store';
import { CallError, type Clock } from '@marjorampin/types';
import { valueListReply } from './listedValues';

const RETRY_AFTER_MS = 500;

/** Returns the values of the store that this process last read, with their age, to processes that start
 * while the store does not reply; refuses all other requests. */
export class ValuesHandler extends PeerHandler {
  private readonly values: WatchedPrefix;

  private readonly clock: Clock;

  constructor({ values, clock }: { values: WatchedPrefix; clock: Clock }) {
    super();
    this.values = values;
    this.clock = clock;
  }

  override async handle({ body }: Request) {
    if (body.case !== 'listValues') {
      const message = `an entry does not handle "${body.case ?? 'empty'}" requests; send them to a keeper`;
      throw new CallError({ kind: 'invalid-request', message });
    }
    const { snapshot } = this.values;
    if (snapshot) return valueListReply(snapshot, this.clock);
    const message = 'this entry has not read the values of the store yet; ask another one';
    throw new CallError({
      kind: 'platform-unavailable',
      message,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  override handleReport(_: EndpointReport): void {}
}
