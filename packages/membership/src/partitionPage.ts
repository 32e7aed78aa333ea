import { decodeValue, type StoredValue, type TokenedValue } from '@marjorampin/store';
import { PARTITION_COUNT } from '@marjorampin/types';
import * as z from 'zod';

/** Prefix of the partition table's pages in the platform's key-value store. */
export const PARTITION_PREFIX = 'partitions/';

/** Number of pages of the partition table. */
export const PAGE_COUNT = 16;

/** Number of partitions on one page. */
export const PARTITIONS_PER_PAGE = PARTITION_COUNT / PAGE_COUNT;

/** Owner of a partition; `epoch` increases by one with every reassignment. */
export interface Assignment {
  owner: string;
  epoch: number;
}

/** One page of the partition table; index 0 is the page's first partition. */
export interface PartitionPage extends TokenedValue {
  assignments: Assignment[];
}

/** Assignment of a partition that has never had an owner. */
export const UNASSIGNED: Assignment = { owner: '', epoch: 0 };

/** Returns the number of the page that contains a partition. */
export function pageOf(partition: number): number {
  return Math.floor(partition / PARTITIONS_PER_PAGE);
}

/** Returns the store key of a page. */
export function pageKey(page: number): string {
  return `${PARTITION_PREFIX}${page}`;
}

const pageSchema = z.object({
  assignments: z
    .array(z.object({ owner: z.string(), epoch: z.number().int().min(0) }))
    .length(PARTITIONS_PER_PAGE),
  token: z.string().default(''),
});

/** Decodes a page; returns undefined if the value is none. */
export function decodePage(stored: StoredValue): PartitionPage | undefined {
  const page = Number(stored.key.slice(PARTITION_PREFIX.length));
  const isKey = stored.key === pageKey(page) && Number.isInteger(page) && page < PAGE_COUNT;
  return isKey ? decodeValue(stored, pageSchema) : undefined;
}
