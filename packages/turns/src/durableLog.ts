import { mkdir, open, readdir, readFile, unlink, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';
import { fromBinary, toBinary } from '@bufbuild/protobuf';
import type { EventLog } from '@marjorampin/logging';
import { type KeptEvent, KeptEventSchema } from '@marjorampin/protocol';

/** Default segment size; the log is split so that expired events can be deleted as whole files. */
const DEFAULT_SEGMENT_BYTES = 4 * 1024 * 1024;
/** Size of the header of an event: its length and checksum, four bytes each. */
const HEADER_BYTES = 8;
const SEGMENT_NAME = /^(\d{8})\.log$/;

/** Options of `DurableLog`. */
export interface DurableLogOptions {
  folder: string;
  log: EventLog;
  /** Size at which a new segment starts. */
  segmentBytes?: number;
}

interface Segment {
  name: string;
  /** Wall time at which the last event of the segment expires. */
  expiresAtMs: number;
}

/** Share of the retention after which an event is about to expire; leaves time to repeat a failed
 * rewrite before its segment is deleted. */
const EXPIRING_SHARE = 0.8;

/** Wall time at which an event was written, and the time from then until it expires. */
type EventTimes = Pick<KeptEvent, 'writtenAtMs' | 'retentionMs'>;

interface PendingAppend {
  event: KeptEvent;
  resolve(): void;
  reject(error: unknown): void;
}

/**
 * Log of checksummed events on disk. Events that are appended concurrently share one sync. Segments
 * are deleted by the age of their events; a program that lives on is rewritten before that.
 */
export class DurableLog {
  private readonly options: Required<DurableLogOptions>;

  private readonly segments: Segment[] = [];

  private file: FileHandle | undefined;

  private fileBytes = 0;

  private nextSegmentNumber = 1;

  private pending: PendingAppend[] = [];

  /** Times of the event that expires first, by program. */
  private readonly oldestEvents = new Map<string, EventTimes>();

  private isWriting = false;

  /** The last series of writes. */
  private writing: Promise<void> = Promise.resolve();

  private isClosed = false;

  constructor({ segmentBytes = DEFAULT_SEGMENT_BYTES, ...options }: DurableLogOptions) {
    this.options = { segmentBytes, ...options };
  }

  /** Returns all completely written events in the order of writing. */
  async replay(): Promise<KeptEvent[]> {
    const { folder } = this.options;
    await mkdir(folder, { recursive: true });
    const names = (await readdir(folder)).filter((name) => SEGMENT_NAME.test(name)).sort();
    const events: KeptEvent[] = [];
    for (const name of names) {
      const read = this.readSegment(name, await readFile(join(folder, name)));
      const expiresAtMs = read.reduce((latest, event) => Math.max(latest, expiryOf(event)), 0);
      this.segments.push({ name, expiresAtMs });
      read.forEach((event) => this.recordOldest(event));
      events.push(...read);
      this.nextSegmentNumber = Number(SEGMENT_NAME.exec(name)?.[1]) + 1;
    }
    return events;
  }

  /** Appends an event; resolves once it is synced to disk. Rejects once the log is being closed. */
  append(event: KeptEvent): Promise<void> {
    if (this.isClosed) {
      return Promise.reject(new Error('the log is closed; start the keeper again'));
    }
    this.recordOldest(event);
    return new Promise((resolve, reject) => {
      this.pending.push({ event, resolve, reject });
      if (!this.isWriting) this.writing = this.flush();
    });
  }

  /** Returns the programs with an event that is about to expire, and the wall time at which it does. */
  expiringPrograms(wallTimeMs: number): { program: string; expiresAtMs: number }[] {
    return [...this.oldestEvents]
      .filter(
        ([, { writtenAtMs, retentionMs }]) =>
          writtenAtMs + retentionMs * EXPIRING_SHARE <= wallTimeMs,
      )
      .map(([program, oldest]) => ({ program, expiresAtMs: expiryOf(oldest) }));
  }

  /** Replaces all earlier events of a program; without events, the program is forgotten. */
  async rewrite(program: string, events: KeptEvent[]): Promise<void> {
    const oldest = this.oldestEvents.get(program);
    this.oldestEvents.delete(program);
    try {
      await Promise.all(events.map((event) => this.append(event)));
    } catch (error) {
      if (oldest) this.oldestEvents.set(program, oldest);
      throw error;
    }
  }

  /** Deletes segments in which every event has expired, except those that hold one of `programs`. */
  async dropExpired(wallTimeMs: number, programs: ReadonlySet<string> = new Set()): Promise<void> {
    const current = this.file ? this.segments.at(-1) : undefined;
    const expired = this.segments.filter(
      (segment) => segment !== current && segment.expiresAtMs < wallTimeMs,
    );
    for (const segment of expired) {
      const path = join(this.options.folder, segment.name);
      const isNeeded =
        programs.size > 0 &&
        this.readSegment(segment.name, await readFile(path)).some((event) =>
          programs.has(event.program),
        );
      if (!isNeeded) {
        await unlink(path);
        this.segments.splice(this.segments.indexOf(segment), 1);
      }
    }
  }

  /** Closes the open segment once the events appended before are written. */
  async close(): Promise<void> {
    this.isClosed = true;
    await this.writing;
    await this.file?.close();
    this.file = undefined;
  }

  private recordOldest({ program, writtenAtMs, retentionMs }: KeptEvent): void {
    const times = { writtenAtMs, retentionMs };
    const oldest = this.oldestEvents.get(program);
    if (!oldest || expiryOf(times) < expiryOf(oldest)) this.oldestEvents.set(program, times);
  }

  private async flush(): Promise<void> {
    this.isWriting = true;
    while (this.pending.length > 0) {
      const batch = this.pending;
      this.pending = [];
      try {
        await this.writeBatch(batch.map(({ event }) => event));
        batch.forEach(({ resolve }) => resolve());
      } catch (error) {
        // The segment may now end in a torn event, and nothing may be appended after one.
        await this.abandonSegment();
        batch.forEach(({ reject }) => reject(error));
      }
    }
    this.isWriting = false;
  }

  private async writeBatch(events: KeptEvent[]): Promise<void> {
    const file = this.file ?? (await this.openSegment());
    const bytes = Buffer.concat(events.map(encode));
    const segment = this.segments.at(-1);
    if (segment) segment.expiresAtMs = Math.max(segment.expiresAtMs, ...events.map(expiryOf));
    await writeAll(file, bytes);
    await file.datasync();
    this.fileBytes += bytes.length;
    if (this.fileBytes < this.options.segmentBytes) return;
    this.file = undefined;
    await file.close();
  }

  private async openSegment(): Promise<FileHandle> {
    const { folder } = this.options;
    const name = `${String(this.nextSegmentNumber).padStart(8, '0')}.log`;
    this.nextSegmentNumber += 1;
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
      const isValid = length > 0 && body.length === length && crc32(body) === checksum;
      if (!isValid) break;
      events.push(fromBinary(KeptEventSchema, body));
      offset += HEADER_BYTES + length;
    }
    if (offset < bytes.length) {
      this.options.log.write('logTailTorn', { segment: name, bytes: bytes.length - offset });
    }
    return events;
  }
}

function expiryOf({ writtenAtMs, retentionMs }: EventTimes): number {
  return writtenAtMs + retentionMs;
}

function encode(event: KeptEvent): Buffer {
  const body = toBinary(KeptEventSchema, event);
  const header = Buffer.alloc(HEADER_BYTES);
  header.writeUInt32LE(body.length, 0);
  header.writeUInt32LE(crc32(body), 4);
  return Buffer.concat([header, body]);
}

/** Appends all bytes; a single write may be partial. */
async function writeAll(file: FileHandle, bytes: Buffer): Promise<void> {
  let offset = 0;
  while (offset < bytes.length) {
    const { bytesWritten } = await file.write(bytes, offset);
    offset += bytesWritten;
  }
}

/** Syncs a folder, so that files created or renamed in it survive a power failure. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
