import type http2 from 'node:http2';
import type { MessageAssembly } from './messageAssembly';

type Next = IteratorResult<Uint8Array, undefined>;

const DONE: Next = { done: true, value: undefined };

/**
 * Bytes that arrive on an HTTP/2 stream. Takes less processor time than the iterator of the stream
 * itself. Reads without back pressure, which a peer's stream doesn't need: its batches are
 * processed as they arrive.
 */
export class ReceivedBytes implements AsyncIterableIterator<Uint8Array, undefined> {
  private chunks: Buffer[] = [];

  private waiting: { resolve(next: Next): void; reject(error: Error): void } | undefined;

  private isEnded = false;

  private error: Error | undefined;

  /** With an assembly, only whole messages are returned. */
  constructor(stream: http2.Http2Stream, assembly?: MessageAssembly) {
    stream.on('data', (chunk: Buffer) => {
      if (assembly) this.assemble(chunk, assembly);
      else this.receive(chunk);
    });
    if (assembly) stream.once('close', () => assembly.close());
    stream.once('end', () => this.end());
    stream.on('error', (error: Error) => this.fail(error));
    stream.once('close', () => {
      this.fail(new Error(`the stream was closed with HTTP/2 code ${stream.rstCode}`));
    });
  }

  /** Resolves with all bytes that have arrived and weren't returned yet. */
  next(): Promise<Next> {
    if (this.chunks.length > 0) return Promise.resolve(this.takeChunks());
    if (this.isEnded) return Promise.resolve(DONE);
    if (this.error) return Promise.reject(this.error);
    return new Promise((resolve, reject) => {
      this.waiting = { resolve, reject };
    });
  }

  /** Discards the bytes that arrive from now on. */
  return(): Promise<Next> {
    this.end();
    this.chunks = [];
    return Promise.resolve(DONE);
  }

  /** As `return`; connect-es calls this when the stream fails. */
  async throw(error: unknown): Promise<Next> {
    await this.return();
    throw error;
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  private assemble(chunk: Buffer, assembly: MessageAssembly): void {
    if (this.isEnded || this.error) return;
    try {
      const messages = assembly.push(chunk);
      if (messages.length > 0) this.receive(messages);
    } catch (error) {
      this.fail(error instanceof Error ? error : new Error(String(error)));
    }
  }

  private receive(chunk: Buffer): void {
    if (this.isEnded) return;
    this.chunks.push(chunk);
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.resolve(this.takeChunks());
  }

  private end(): void {
    this.isEnded = true;
    this.waiting?.resolve(DONE);
    this.waiting = undefined;
  }

  private fail(error: Error): void {
    this.error ??= error;
    this.waiting?.reject(error);
    this.waiting = undefined;
  }

  private takeChunks(): Next {
    const { chunks } = this;
    const [first] = chunks;
    this.chunks = [];
    const value = first && chunks.length === 1 ? first : Buffer.concat(chunks);
    return { done: false, value };
  }
}

/** Writes bytes to an HTTP/2 stream; rejects once the stream is closed. */
export async function sendBytes(
  stream: http2.Http2Stream,
  bytes: AsyncIterable<Uint8Array>,
): Promise<void> {
  for await (const chunk of bytes) {
    if (stream.closed || stream.destroyed) throw new Error('the stream is closed');
    if (!stream.write(chunk)) await drained(stream);
  }
}

/** Resolves once a stream accepts further bytes or is closed. */
function drained(stream: http2.Http2Stream): Promise<void> {
  return new Promise((resolve) => {
    const settle = () => {
      stream.off('drain', settle);
      stream.off('close', settle);
      resolve();
    };
    stream.on('drain', settle);
    stream.on('close', settle);
  });
}
