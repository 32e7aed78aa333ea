/** Disks in memory under the functions of `node:fs/promises` that keepers use. */
import fs from 'node:fs/promises';
import { syncBuiltinESMExports } from 'node:module';
import { basename, dirname } from 'node:path';
import type { Clock } from '@marjorampin/types';

/** Parent of all mounted disks; other paths belong to the real file system. */
const MOUNT_ROOT = '/simulated-disks';
/** Time of a sync of a file. */
const SYNC_MS = 1;

interface SimulatedFile {
  bytes: Buffer;
  syncedBytes: Buffer;
}

interface Mount {
  disk: SimulatedDisk;
  clock: Clock;
}

const mounts = new Map<string, Mount>();
let mountCount = 0;

/** A disk with one folder, which loses what was not synced when the power fails. */
export class SimulatedDisk {
  files = new Map<string, SimulatedFile>();

  private syncedNames = new Map<string, SimulatedFile>();

  /** Returns an empty disk with one file of this one, for a mutation. */
  emptiedExcept(name: string): SimulatedDisk {
    const emptied = new SimulatedDisk();
    const file = this.files.get(name);
    if (file) emptied.syncFile(name, { ...file });
    emptied.failPower();
    return emptied;
  }

  /** Drops what was not synced. */
  failPower(): void {
    this.files = new Map(this.syncedNames);
    this.files.forEach((file) => {
      // Open handles of the process that ended keep the old content.
      Object.assign(file, { bytes: file.syncedBytes });
    });
  }

  /** Makes the current names of files durable. */
  syncNames(): void {
    this.syncedNames = new Map(this.files);
  }

  /** Makes the content and the name of a file durable. */
  syncFile(name: string, file: SimulatedFile): void {
    Object.assign(file, { syncedBytes: file.bytes });
    if ((this.files.get(name) ?? file) === file) this.syncedNames.set(name, file);
  }
}

/** Mounts a disk for one process; returns its folder. */
export function mountDisk(disk: SimulatedDisk, clock: Clock): string {
  mountCount += 1;
  const folder = `${MOUNT_ROOT}/${mountCount}`;
  mounts.set(folder, { disk, clock });
  return folder;
}

/** Unmounts a disk: further requests of its process never end. */
export function unmountDisk(folder: string): void {
  mounts.delete(folder);
}

const never = () =>
  new Promise<never>(() => {
    // Never settles, as the process has ended.
  });

function missingFile(path: string): NodeJS.ErrnoException {
  return Object.assign(new Error(`no file at ${path}`), { code: 'ENOENT' });
}

class SimulatedHandle {
  private readonly folder: string;

  private readonly name: string;

  private readonly file: SimulatedFile | undefined;

  constructor(folder: string, name: string, file: SimulatedFile | undefined) {
    this.folder = folder;
    this.name = name;
    this.file = file;
  }

  async write(bytes: Buffer, offset = 0): Promise<{ bytesWritten: number }> {
    await this.writeFile(bytes.subarray(offset));
    return { bytesWritten: bytes.length - offset };
  }

  async writeFile(content: Buffer | string): Promise<void> {
    if (!mounts.has(this.folder)) await never();
    if (this.file) this.file.bytes = Buffer.concat([this.file.bytes, Buffer.from(content)]);
  }

  async sync(): Promise<void> {
    const mount = mounts.get(this.folder);
    if (!mount) return never();
    if (!this.file) return mount.disk.syncNames();
    await mount.clock.sleep(SYNC_MS);
    if (!mounts.has(this.folder)) await never();
    return mount.disk.syncFile(this.name, this.file);
  }

  datasync(): Promise<void> {
    return this.sync();
  }

  async close(): Promise<void> {
    if (!mounts.has(this.folder)) await never();
  }
}

async function openFile(path: string, flags: string): Promise<SimulatedHandle> {
  if (mounts.has(path)) return new SimulatedHandle(path, '', undefined);
  const files = await filesOf(dirname(path));
  const name = basename(path);
  const isEmpty = flags === 'w' || !files.has(name);
  const file = { bytes: Buffer.alloc(0), syncedBytes: Buffer.alloc(0) };
  const opened = isEmpty ? file : (files.get(name) ?? file);
  files.set(name, opened);
  return new SimulatedHandle(dirname(path), name, opened);
}

async function filesOf(folder: string): Promise<Map<string, SimulatedFile>> {
  return mounts.get(folder)?.disk.files ?? never();
}

async function readContent(path: string, encoding?: BufferEncoding): Promise<Buffer | string> {
  const file = (await filesOf(dirname(path))).get(basename(path));
  if (!file) throw missingFile(path);
  return encoding === undefined ? file.bytes : file.bytes.toString(encoding);
}

async function removeFile(path: string): Promise<void> {
  (await filesOf(dirname(path))).delete(basename(path));
}

async function renameFile(from: string, to: string): Promise<void> {
  const files = await filesOf(dirname(from));
  const file = files.get(basename(from));
  if (!file) throw missingFile(from);
  files.delete(basename(from));
  files.set(basename(to), file);
}

/** Functions that replace those of `node:fs/promises` for mounted disks. */
const REPLACEMENTS = {
  mkdir: async () => undefined,
  open: openFile,
  readdir: async (folder: string) => [...(await filesOf(folder)).keys()],
  readFile: readContent,
  unlink: removeFile,
  rename: renameFile,
};

type Call = (path: unknown, ...rest: unknown[]) => Promise<unknown>;

/** Redirects the paths of mounted disks for all modules of this thread. */
export function redirectFiles(): void {
  const functions = fs as unknown as Record<string, Call>;
  Object.entries(REPLACEMENTS).forEach(([name, replacement]) => {
    const original = functions[name] as Call;
    functions[name] = (path: unknown, ...rest: unknown[]) =>
      typeof path === 'string' && path.startsWith(MOUNT_ROOT)
        ? (replacement as unknown as Call)(path, ...rest)
        : original(path, ...rest);
  });
  syncBuiltinESMExports();
}
