import { EventLog, type EventFields } from './eventLog';
import type { EventName } from './events';

/** One in so many routine successes is written, chosen by the request's id. */
export const ROUTINE_SHARE = 16;
/** Lines a second that troubles may write; far above what an operator reads. */
const LINES_PER_SECOND = 200;
const SECOND_MS = 1_000;

const ROUTINE: ReadonlySet<EventName> = new Set<EventName>(['requestAnswered']);

/** Bounds the volume of a log: routine lines by a share of the ids, all others by a rate. */
export class SampledEventLog extends EventLog {
  private readonly target: EventLog;

  private readonly now: () => number;

  private windowStartedMs = -Infinity;

  private written = 0;

  private dropped = 0;

  constructor({ target, now }: { target: EventLog; now: () => number }) {
    super();
    this.target = target;
    this.now = now;
  }

  override write(event: EventName, fields: EventFields = {}): void {
    if (ROUTINE.has(event) && !isSampled(String(fields.request ?? ''))) return;
    this.beginWindow();
    if (this.written >= LINES_PER_SECOND) {
      this.dropped += 1;
      return;
    }
    this.written += 1;
    this.target.write(event, fields);
  }

  private beginWindow(): void {
    const now = this.now();
    if (now - this.windowStartedMs < SECOND_MS) return;
    if (this.dropped > 0) this.target.write('linesDropped', { lines: this.dropped });
    this.windowStartedMs = now;
    this.written = 0;
    this.dropped = 0;
  }
}

/** Returns the same for every process, so that a request's lines are all there or all absent. */
function isSampled(request: string): boolean {
  let sum = 0;
  for (let index = 0; index < request.length; index += 1) sum += request.charCodeAt(index);
  return sum % ROUTINE_SHARE === 0;
}
