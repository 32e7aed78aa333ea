import { createHash, randomBytes } from 'node:crypto';

/** Number of partitions that programs are assigned to; fixed, as program ids contain one. */
export const PARTITION_COUNT = 4096;

/** Number of shards of the call ledger. */
export const LEDGER_SHARD_COUNT = 16;

const PARTITION_DIGITS = 4;
const PROGRAM_ID = /^([a-z0-9-]{1,64})\.([0-9]{4})\.([0-9a-f]{24})$/;

/** Customer and partition that a program id contains. */
export interface ProgramIdParts {
  customer: string;
  partition: number;
}

/** Creates a unique program id, `customer.partition.random`. */
export function createProgramId({ customer, partition }: ProgramIdParts): string {
  const digits = String(partition).padStart(PARTITION_DIGITS, '0');
  return `${customer}.${digits}.${randomBytes(12).toString('hex')}`;
}

/** Parses a program id; returns undefined if the text is not one. */
export function parseProgramId(text: string): ProgramIdParts | undefined {
  const match = PROGRAM_ID.exec(text);
  if (!match) return undefined;
  const partition = Number(match[2]);
  if (partition >= PARTITION_COUNT) return undefined;
  return { customer: match[1] ?? '', partition };
}

/** Returns the partitions that a customer's programs are assigned to: `count`, but at least one. */
export function customerPartitions(customer: string, count: number): number[] {
  const start = createHash('sha256').update(customer).digest().readUInt32BE(0);
  const size = Math.max(1, Math.min(count, PARTITION_COUNT));
  // An odd stride visits every partition exactly once, as their number is a power of two.
  const stride = 1021;
  return Array.from({ length: size }, (_, index) => (start + index * stride) % PARTITION_COUNT);
}

/** Returns the ledger shard of a partition. */
export function ledgerShardOf(partition: number): number {
  return partition % LEDGER_SHARD_COUNT;
}

/** Returns the SHA-256 digest of a text in hex. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
