import bunyan from 'bunyan';
import type { LineBuffer } from './lineBuffer';
import { EVENTS, type EventName } from './events';

/** Fields of one log line. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Where events go. */
export abstract class EventLog {
  /** Writes one event with its fields. */
  abstract write(event: EventName, fields?: EventFields): void;
}

/** Writes events as bunyan's JSON lines, to standard error unless told otherwise. */
export class BunyanEventLog extends EventLog {
  private readonly logger: bunyan;

  constructor({
    process: name,
    stream = process.stderr,
  }: {
    process: string;
    stream?: bunyan.Stream['stream'] | LineBuffer;
  }) {
    super();
    this.logger = bunyan.createLogger({ name, stream: stream as NodeJS.WritableStream });
  }

  override write(event: EventName, fields: EventFields = {}): void {
    const { number, level, message } = EVENTS[event];
    this.logger[level]({ event: number, ...fields }, message);
  }
}

/** Keeps events in memory, for tests and for programs that embed the scheduler. */
export class MemoryEventLog extends EventLog {
  readonly events: { event: EventName; fields: EventFields }[] = [];

  override write(event: EventName, fields: EventFields = {}): void {
    this.events.push({ event, fields });
  }
}
