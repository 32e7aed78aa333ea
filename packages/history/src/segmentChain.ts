import { digestOf, type Segment, type TurnKind } from '@marjorampin/types';

/** Digest before the first turn. */
export const EMPTY_DIGEST = '';

/** What a new segment is made of. */
export interface SegmentFields {
  program: string;
  turn: number;
  kind: TurnKind;
  request: string;
  requestDigest: string;
  answer: string;
  previousDigest: string;
  spent: number;
}

/** Returns the digest that chains a turn to the ones before it. */
export function chainDigest(fields: Omit<SegmentFields, 'spent'>): string {
  const { program, turn, kind, request, requestDigest, answer, previousDigest } = fields;
  return digestOf(
    JSON.stringify([previousDigest, program, turn, kind, request, requestDigest, answer]),
  );
}

/** Makes the segment of a finished turn. */
export function createSegment(fields: SegmentFields): Segment {
  return { ...fields, digest: chainDigest(fields) };
}

/** Returns true when the segments are turns 1, 2, … of one program and every digest fits. */
export function isWholeChain(segments: Segment[]): boolean {
  return segments.every((segment, index) => {
    const previous = segments[index - 1];
    const followsPrevious =
      segment.turn === index + 1 &&
      segment.previousDigest === (previous?.digest ?? EMPTY_DIGEST) &&
      segment.program === (previous?.program ?? segment.program);
    return followsPrevious && segment.digest === chainDigest(segment);
  });
}

/** Returns the text that a model is given for a program's history. */
export function contextOf(segments: Segment[]): string {
  return segments
    .filter(({ kind }) => kind === 'model' || kind === 'service')
    .map(({ request, answer }) => `${request}\n${answer}\n`)
    .join('');
}
