import type { Keeper } from '@marjorampin/protocol';

/** Turns that one keeper is told of at most with one request. */
const MAXIMUM_TURNS = 64;

/** Acknowledged turns of which keepers are told with the next request to each of them. */
export class AcknowledgedTurns {
  private readonly pending = new Map<string, string[]>();

  /** Adds a turn for each keeper of its group; the oldest turns beyond the limit are left out. */
  add(turn: string, keepers: Keeper[]): void {
    keepers.forEach(({ id }) => {
      const turns = this.pending.get(id) ?? [];
      turns.push(turn);
      if (turns.length > MAXIMUM_TURNS) turns.shift();
      this.pending.set(id, turns);
    });
  }

  /** Removes and returns the turns of which a keeper has not been told. */
  take(id: string): string[] {
    const turns = this.pending.get(id) ?? [];
    this.pending.delete(id);
    return turns;
  }

  /** Drops the turns of keepers that are not listed. */
  retain(keepers: Keeper[]): void {
    const ids = new Set(keepers.map(({ id }) => id));
    [...this.pending.keys()].filter((id) => !ids.has(id)).forEach((id) => this.pending.delete(id));
  }
}
