import { createParser, type EventSourceParser } from 'eventsource-parser';

/** Length of the longest end of an event: two line breaks of two characters each. */
const EVENT_END_LENGTH = 4;

/** Parses a stream of server-sent events: collects their data and counts those begun. */
export class EventReader {
  private readonly decoder = new TextDecoder();

  private readonly parser: EventSourceParser;

  private readonly data: string[] = [];

  private lastId: string | undefined;

  private hasPartialEvent = false;

  /** End of the text read so far, which shows a blank line that is split over chunks. */
  private tail = '';

  constructor() {
    this.parser = createParser({
      onEvent: ({ data, id }) => {
        this.data.push(data);
        this.lastId = id ?? this.lastId;
      },
    });
  }

  /** Parses the next chunk of the stream. */
  read(chunk: Buffer): void {
    const text = this.decoder.decode(chunk, { stream: true });
    this.parser.feed(text);
    this.tail = (this.tail + text).slice(-EVENT_END_LENGTH);
    this.hasPartialEvent = !/\r?\n\r?\n$/.test(this.tail);
  }

  /** Number of events begun so far, including an incomplete last one. */
  get startedCount(): number {
    return this.data.length + (this.hasPartialEvent ? 1 : 0);
  }

  /** Id of the last complete event that has one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Data of the complete events, each followed by a line feed. */
  get output(): Buffer {
    return Buffer.from(this.data.map((text) => `${text}\n`).join(''));
  }
}
