import { EventLog, type EventFields } from './eventLog';
import type { EventName } from './events';

/** On average, one routine success in this many is written, selected by request id. */
export const SAMPLING_DIVISOR = 16;
/** Rate limit of all written lines; far more than an operator reads. */
const MAXIMUM_LINES_PER_SECOND = 200;
const SECOND_MS = 1_000;

/** Written above the rate limit, too: the last line of a process is the one that explains its end. */
const UNLIMITED_EVENTS: ReadonlySet<EventName> = new Set<EventName>([
  'processExited',
  'processFailed',
]);

const SAMPLED_EVENTS: ReadonlySet<EventName> = new Set<EventName>(['requestAnswered']);

/** Bounds the volume of a log: samples routine successes and limits the rate of all lines. */
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
    if (SAMPLED_EVENTS.has(event) && !isSampled(String(fields.request ?? ''))) return;
    this.startWindowIfDue();
    if (UNLIMITED_EVENTS.has(event)) {
      this.target.write(event, fields);
      return;
    }
    if (this.written >= MAXIMUM_LINES_PER_SECOND) {
      this.dropped += 1;
      return;
    }
    this.written += 1;
    this.target.write(event, fields);
  }

  private startWindowIfDue(): void {
    const now = this.now();
    if (now - this.windowStartedMs < SECOND_MS) return;
    if (this.dropped > 0) this.target.write('linesDropped', { lines: this.dropped });
    this.windowStartedMs = now;
    this.written = 0;
    this.dropped = 0;
  }
}

/**
 * Returns whether the lines of a request are written. The result depends on the id alone, so all
 * processes decide alike.
 */
function isSampled(request: string): boolean {
  let sum = 0;
  for (let index = 0; index < request.length; index += 1) sum += request.charCodeAt(index);
  return sum % SAMPLING_DIVISOR === 0;
}
