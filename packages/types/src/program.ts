import { createHash, randomBytes } from 'node:crypto';

/** Number of program partitions; part of every program id, so it never changes. */
export const PARTITION_COUNT = 4096;

/** Number of ledger shards. */
export const LEDGER_SHARD_COUNT = 16;

const PARTITION_DIGITS = 4;
const PROGRAM_ID = /^([a-z0-9-]{1,64})\.([0-9]{4})\.([0-9a-f]{24})$/;

/** The parts of a program id. */
export interface ProgramId {
  customer: string;
  partition: number;
}

/** Makes a new program id, `customer.partition.random`. */
export function createProgramId({ customer, partition }: ProgramId): string {
  const digits = String(partition).padStart(PARTITION_DIGITS, '0');
  return `${customer}.${digits}.${randomBytes(12).toString('hex')}`;
}

/** Reads a program id; returns undefined when it is not one. */
export function parseProgramId(text: string): ProgramId | undefined {
  const match = PROGRAM_ID.exec(text);
  if (!match) return undefined;
  const partition = Number(match[2]);
  if (partition >= PARTITION_COUNT) return undefined;
  return { customer: match[1] ?? '', partition };
}

/** Returns the partitions that hold a customer's programs. */
export function customerPartitions(customer: string, count: number): number[] {
  const start = createHash('sha256').update(customer).digest().readUInt32BE(0);
  const size = Math.max(1, Math.min(count, PARTITION_COUNT));
  // A stride that is odd visits every partition of a power-of-two table once.
  const stride = 1021;
  return Array.from({ length: size }, (_, index) => (start + index * stride) % PARTITION_COUNT);
}

/** Returns the ledger shard that records a partition's calls. */
export function ledgerShardOf(partition: number): number {
  return partition % LEDGER_SHARD_COUNT;
}

/** Returns the hex SHA-256 digest of a text. */
export function digestOf(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
