const EVENT_END = '\n\n';

/** Returns the number of server-sent events that end in a chunk of a stream, at least 1: most chunks are
 * one event, whose end can't be found if its lines end otherwise or it is split. */
export function countEvents(chunk: Buffer): number {
  let count = 0;
  let end = chunk.indexOf(EVENT_END);
  while (end !== -1) {
    count += 1;
    end = chunk.indexOf(EVENT_END, end + EVENT_END.length);
  }
  return Math.max(1, count);
}
