import type { Hash } from '@marjorampin/membership';
import type { Keeper, Roster } from '@marjorampin/protocol';
import { groupOf } from './keeperGroup';

/** Maximum number of programs whose group is remembered. */
const MAXIMUM_ENTRIES = 4_096;
/** Number of groups that represent all groups of a roster. */
const SAMPLE_SIZE = 32;

/** Options of `GroupTable`. */
export interface GroupTableOptions {
  roster: Roster;
  /** Number of keepers whose disks may be lost at once. */
  lossLimit: number;
  hash: Hash;
}

/** Groups of keepers under one roster; computing one takes time proportional to the roster. */
export class GroupTable {
  readonly roster: Roster;

  /** Groups of arbitrary programs, as a sample of all groups. */
  readonly sample: Keeper[][];

  private readonly options: GroupTableOptions;

  private readonly groups = new Map<string, Keeper[]>();

  constructor(options: GroupTableOptions) {
    this.options = options;
    this.roster = options.roster;
    this.sample = Array.from({ length: SAMPLE_SIZE }, (_, index) => this.compute(`${index}`));
  }

  /** Returns the keepers that store a program. */
  groupOf(program: string): Keeper[] {
    const known = this.groups.get(program);
    if (known) return known;
    if (this.groups.size >= MAXIMUM_ENTRIES) this.groups.clear();
    const group = this.compute(program);
    this.groups.set(program, group);
    return group;
  }

  private compute(program: string): Keeper[] {
    return groupOf(this.options.roster, program, this.options);
  }
}
