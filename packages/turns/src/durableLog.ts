import { mkdir, open, readdir, readFile, unlink, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type KeptEvent, KeptEventSchema } from '@marjorampin/protocol';

/** A new segment is begun after this many bytes, so that old ones can be dropped whole. */
const SEGMENT_BYTES = 4 * 1024 * 1024;
/** Length and checksum before each event, four bytes each. */
const HEADER_BYTES = 8;
const SEGMENT_NAME = /^(\d{8})\.log$/;

/** Where a log is kept. */
export interface DurableLogOptions {
  folder: string;
  log: EventLog;
  segmentBytes?: number;
}

interface Segment {
  name: string;
  /** Wall time at which the last of its events is of no use any more. */
  expiresAtMs: number;
}

interface Waiting {
  event: KeptEvent;
  resolve(): void;
  reject(error: unknown): void;
}

/** Checksummed events on disk. Events that arrive together share one sync. */
export class DurableLog {
  private readonly options: Required<DurableLogOptions>;

  private readonly segments: Segment[] = [];

  private file: FileHandle | undefined;

  private fileBytes = 0;

  private nextSegment = 1;

  private waiting: Waiting[] = [];

  private isWriting = false;

  constructor({ segmentBytes = SEGMENT_BYTES, ...options }: DurableLogOptions) {
    this.options = { segmentBytes, ...options };
  }

  /** Reads every event that was written whole, in order. */
  async replay(): Promise<KeptEvent[]> {
    const { folder } = this.options;
    await mkdir(folder, { recursive: true });
    const names = (await readdir(folder)).filter((name) => SEGMENT_NAME.test(name)).sort();
    const events: KeptEvent[] = [];
    for (const name of names) {
      const read = this.readSegment(name, await readFile(join(folder, name)));
      const expiresAtMs = read.reduce((latest, event) => Math.max(latest, expiryOf(event)), 0);
      this.segments.push({ name, expiresAtMs });
      events.push(...read);
      this.nextSegment = Number(SEGMENT_NAME.exec(name)?.[1]) + 1;
    }
    return events;
  }

  /** Writes an event; resolves once it survives a loss of power. */
  append(event: KeptEvent): Promise<void> {
    return new Promise((resolve, reject) => {
      this.waiting.push({ event, resolve, reject });
      if (!this.isWriting) this.writeAll();
    });
  }

  /** Removes segments of which every event has expired. */
  async dropExpired(wallTimeMs: number): Promise<void> {
    const current = this.file ? this.segments.at(-1) : undefined;
    const expired = this.segments.filter(
      (segment) => segment !== current && segment.expiresAtMs < wallTimeMs,
    );
    for (const segment of expired) {
      await unlink(join(this.options.folder, segment.name));
      this.segments.splice(this.segments.indexOf(segment), 1);
    }
  }

  /** Closes the open segment. */
  async close(): Promise<void> {
    await this.file?.close();
    this.file = undefined;
  }

  private async writeAll(): Promise<void> {
    this.isWriting = true;
    while (this.waiting.length > 0) {
      const batch = this.waiting;
      this.waiting = [];
      try {
        await this.writeBatch(batch.map(({ event }) => event));
        batch.forEach(({ resolve }) => resolve());
      } catch (error) {
        // The end of the segment may be torn now, so that nothing may follow it there.
        await this.abandonSegment();
        batch.forEach(({ reject }) => reject(error));
      }
    }
    this.isWriting = false;
  }

  private async writeBatch(events: KeptEvent[]): Promise<void> {
    const file = this.file ?? (await this.beginSegment());
    const bytes = Buffer.concat(events.map(encode));
    const segment = this.segments.at(-1);
    if (segment) segment.expiresAtMs = Math.max(segment.expiresAtMs, ...events.map(expiryOf));
    await file.appendFile(bytes);
    await file.datasync();
    this.fileBytes += bytes.length;
    if (this.fileBytes < this.options.segmentBytes) return;
    this.file = undefined;
    await file.close();
  }

  private async beginSegment(): Promise<FileHandle> {
    const { folder } = this.options;
    const name = `${String(this.nextSegment).padStart(8, '0')}.log`;
    this.nextSegment += 1;
    const file = await open(join(folder, name), 'a');
    this.segments.push({ name, expiresAtMs: 0 });
    this.file = file;
    this.fileBytes = 0;
    await syncFolder(folder);
    return file;
  }

  private async abandonSegment(): Promise<void> {
    const { file } = this;
    this.file = undefined;
    await file?.close().catch((error: Error) => {
      this.options.log.write('diskFailed', { error: error.message, step: 'close' });
    });
  }

  private readSegment(name: string, bytes: Buffer): KeptEvent[] {
    const events: KeptEvent[] = [];
    let offset = 0;
    while (offset + HEADER_BYTES <= bytes.length) {
      const length = bytes.readUInt32LE(offset);
      const checksum = bytes.readUInt32LE(offset + 4);
      const body = bytes.subarray(offset + HEADER_BYTES, offset + HEADER_BYTES + length);
      const isWhole = length > 0 && body.length === length && crc32(body) === checksum;
      if (!isWhole) break;
      events.push(fromBinary(KeptEventSchema, body));
      offset += HEADER_BYTES + length;
    }
    if (offset < bytes.length) {
      this.options.log.write('logTailTorn', { segment: name, bytes: bytes.length - offset });
    }
    return events;
  }
}

function expiryOf({ writtenAtMs, retentionMs }: KeptEvent): number {
  return writtenAtMs + retentionMs;
}

function encode(event: KeptEvent): Buffer {
  const body = toBinary(KeptEventSchema, event);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(body.length, 0);
  header.writeUInt32LE(crc32(body), 4);
  return Buffer.concat([header, body]);
}

/** Makes names of files in a folder survive a loss of power. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
