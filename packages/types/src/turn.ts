/** What a turn did. */
export type TurnKind = 'model' | 'service' | 'spawn' | 'end';

/** One turn of a program's history, chained to the one before it. */
export interface Segment {
  program: string;
  /** 1 for the first turn. */
  turn: number;
  kind: TurnKind;
  /** Digest of the caller's request, by which a repeated request is recognised. */
  requestDigest: string;
  request: string;
  answer: string;
  previousDigest: string;
  digest: string;
  /** Budget spent after this turn, in tokens. */
  spent: number;
}
