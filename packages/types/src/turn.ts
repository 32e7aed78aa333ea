/** Kind of a turn: a model or service call, the start of a sub-agent, or the program's end. */
export type TurnKind = 'model' | 'service' | 'spawn' | 'end';

/** Turn of a program's history, chained to the previous turn by its digest. */
export interface Segment {
  /** Id of the program. */
  program: string;
  /** Number of the turn, from 1. */
  turn: number;
  kind: TurnKind;
  /** Digest that identifies the caller's request, so that a retry returns the stored answer. */
  requestDigest: string;
  request: string;
  answer: string;
  /** `digest` of the previous turn. */
  previousDigest: string;
  /** Hex SHA-256 digest over this turn and `previousDigest`. */
  digest: string;
  /** Budget spent up to and including this turn, in tokens. */
  spent: number;
}
