import type { TokenedValue } from '@marjorampin/store';
import { PARTITION_COUNT } from '@marjorampin/types';

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

/** Creates a page whose partitions are all unassigned. */
export function createEmptyPage(): PartitionPage {
  return { token: '', assignments: Array.from({ length: PARTITIONS_PER_PAGE }, () => UNASSIGNED) };
}
