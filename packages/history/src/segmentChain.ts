import { sha256Hex, type Segment, type TurnKind } from '@marjorampin/types';

/** `previousDigest` of the first turn. */
export const EMPTY_DIGEST = '';

/** Fields of a segment, without its digest. */
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

/** Returns the digest of a turn; it covers the previous digest, which chains the turns. */
export function chainDigest(fields: Omit<SegmentFields, 'spent'>): string {
  const { program, turn, kind, request, requestDigest, answer, previousDigest } = fields;
  return sha256Hex(
    JSON.stringify([previousDigest, program, turn, kind, request, requestDigest, answer]),
  );
}

/** Creates the segment of a completed turn. */
export function createSegment(fields: SegmentFields): Segment {
  return { ...fields, digest: chainDigest(fields) };
}

/** Returns true when the segments are turns 1, 2, … of one program and every digest matches. */
export function isValidChain(segments: Segment[]): boolean {
  return segments.every((segment, index) => {
    const previous = segments[index - 1];
    const followsPrevious =
      segment.turn === index + 1 &&
      segment.previousDigest === (previous?.digest ?? EMPTY_DIGEST) &&
      segment.program === (previous?.program ?? segment.program);
    return followsPrevious && segment.digest === chainDigest(segment);
  });
}

/** Returns a program's history as context for a model: requests and answers of its calls. */
export function contextOf(segments: Segment[]): string {
  return segments
    .filter(({ kind }) => kind === 'model' || kind === 'service')
    .map(({ request, answer }) => `${request}\n${answer}\n`)
    .join('');
}
