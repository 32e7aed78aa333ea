import bunyan from 'bunyan';
import type { LineBuffer } from './lineBuffer';
import { EVENTS, type EventName } from './events';

/** Fields of a log line besides its event. */
export type EventFields = Record<string, string | number | boolean | undefined>;

/** Destination of log events. */
export abstract class EventLog {
  /** Writes one event with its fields. */
  abstract write(event: EventName, fields?: EventFields): void;
}

/** Writes events as JSON lines with bunyan, to standard error by default. */
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

/** Stores events in memory, for tests and for applications that embed an entry or an agent. */
export class MemoryEventLog extends EventLog {
  readonly events: { event: EventName; fields: EventFields }[] = [];

  override write(event: EventName, fields: EventFields = {}): void {
    this.events.push({ event, fields });
  }
}
