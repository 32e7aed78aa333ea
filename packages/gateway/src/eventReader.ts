import { isAscii } from 'node:buffer';
import { createParser, type EventSourceParser } from 'eventsource-parser';
import { EventBoundary } from './eventBoundary';

/** Memory of one byte of a stream as text, in bytes: up to two for a character. */
const TEXT_BYTES = 2;

/** Parses a stream of server-sent events: collects their data and counts those begun. */
export class EventReader {
  /** Undefined until a chunk contains other characters than those of ASCII. */
  private decoder: InstanceType<typeof TextDecoder> | undefined;

  private hasRead = false;

  private readonly parser: EventSourceParser;

  private readonly data: string[] = [];

  private readonly keepsOutput: boolean;

  private completeCount = 0;

  /** Bytes of all events if the output is kept, otherwise at most since the last complete event. */
  private retainedBytes = 0;

  private lastId: string | undefined;

  private readonly boundary = new EventBoundary();

  constructor({ keepsOutput = true }: { keepsOutput?: boolean } = {}) {
    this.keepsOutput = keepsOutput;
    this.parser = createParser({
      onEvent: ({ data, id }) => {
        this.completeCount += 1;
        if (keepsOutput) this.data.push(data);
        this.lastId = id ?? this.lastId;
      },
    });
  }

  /** Parses the next chunk of the stream. */
  read(chunk: Buffer): void {
    const { completeCount } = this;
    this.parser.feed(this.decode(chunk));
    const isAdded = this.keepsOutput || completeCount === this.completeCount;
    this.retainedBytes = (isAdded ? this.retainedBytes : 0) + chunk.length;
    this.hasRead ||= chunk.length > 0;
    this.boundary.read(chunk);
  }

  /** Number of events begun so far, including an incomplete last one. */
  get startedCount(): number {
    return this.completeCount + (this.boundary.isInsideEvent ? 1 : 0);
  }

  /** Number of bytes that the text takes in memory at most. */
  get heldBytes(): number {
    return this.retainedBytes * TEXT_BYTES;
  }

  /** Id of the last complete event that has one. */
  get lastEventId(): string | undefined {
    return this.lastId;
  }

  /** Data of the complete events, each followed by a line feed; empty unless the output is kept. */
  get output(): Buffer {
    return Buffer.from(this.data.map((text) => `${text}\n`).join(''));
  }

  private decode(chunk: Buffer): string {
    if (!this.decoder && isAscii(chunk)) return chunk.toString('latin1');
    // A byte order mark is dropped only at the start of the stream.
    this.decoder ??= new TextDecoder('utf-8', { ignoreBOM: this.hasRead });
    return this.decoder.decode(chunk, { stream: true });
  }
}
