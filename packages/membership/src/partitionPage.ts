import type { TokenedValue } from '@marjorampin/store';
import { PARTITION_COUNT } from '@marjorampin/types';

/** Prefix of the partition table's pages in the platform's store. */
export const PARTITION_PREFIX = 'partitions/';

/** Number of pages of the partition table. */
export const PAGE_COUNT = 16;

/** Number of partitions in one page. */
export const PARTITIONS_PER_PAGE = PARTITION_COUNT / PAGE_COUNT;

/** Who owns a partition; `epoch` grows with every change of the owner. */
export interface Assignment {
  owner: string;
  epoch: number;
}

/** One page of the table; index 0 is the page's first partition. */
export interface PartitionPage extends TokenedValue {
  assignments: Assignment[];
}

/** The assignment of a partition that nobody ever owned. */
export const UNASSIGNED: Assignment = { owner: '', epoch: 0 };

/** Returns the page that holds a partition. */
export function pageOf(partition: number): number {
  return Math.floor(partition / PARTITIONS_PER_PAGE);
}

/** Key of a page. */
export function pageKey(page: number): string {
  return `${PARTITION_PREFIX}${page}`;
}

/** Returns a page on which nothing is assigned. */
export function emptyPage(): PartitionPage {
  return { token: '', assignments: Array.from({ length: PARTITIONS_PER_PAGE }, () => UNASSIGNED) };
}
