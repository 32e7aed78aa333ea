import { createParser, type EventSourceParser } from 'eventsource-parser';

/** Reads the events of a stream: their data, and how many have begun. */
export class EventReader {
  private readonly decoder = new TextDecoder();

  private readonly parser: EventSourceParser;

  private readonly data: string[] = [];

  private hasPartialEvent = false;

  constructor() {
    this.parser = createParser({
      onEvent: ({ data }) => {
        this.data.push(data);
      },
    });
  }

  /** Reads the next part of the stream. */
  read(chunk: Buffer): void {
    const text = this.decoder.decode(chunk, { stream: true });
    this.parser.feed(text);
    this.hasPartialEvent = !/\r?\n\r?\n$/.test(text);
  }

  /** Events that the caller has got, one that broke off included. */
  get startedCount(): number {
    return this.data.length + (this.hasPartialEvent ? 1 : 0);
  }

  /** Data of each event, followed by a line feed. */
  get output(): Buffer {
    return Buffer.from(this.data.map((text) => `${text}\n`).join(''));
  }
}
