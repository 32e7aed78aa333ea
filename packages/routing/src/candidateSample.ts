import type { EndpointView } from './endpointDirectory';
import { NEAREST_CANDIDATES, positionOfKey } from './preferenceOrder';

/** Endpoints whose cost is computed for one call; services with at most as many are not sampled. */
export const MAXIMUM_CANDIDATES = 64;
/** Parts of a sample: endpoints near the call's key, which all entries prefer for it, endpoints that
 * this entry samples always, to which it has connections, and any others. */
const MAXIMUM_KEYS = 3;
const HOME_CANDIDATES = 24;
const RANDOM_CANDIDATES =
  MAXIMUM_CANDIDATES - MAXIMUM_KEYS * NEAREST_CANDIDATES - HOME_CANDIDATES - 1;
/** Samples that are drawn until one contains an endpoint that may be used. */
const MAXIMUM_SAMPLES = 8;

/** How a sample is drawn. */
export interface SampleOptions {
  /** Keys whose preferred endpoints the sample includes; at most three. */
  keys: readonly number[];
  /** Endpoint that the sample includes if it may be used. */
  warm: EndpointView | undefined;
  /** Position of this entry's usual endpoints, from 0 to 1. */
  home: number;
  random(): number;
  isUsable(view: EndpointView): boolean;
}

/**
 * Returns the usable endpoints of which one is chosen: all of a small service, a sample of a large one.
 * Answers fleets with thousands of endpoints, in which a choice has to cost about the same as in a small
 * one. `views` are in the order of the positions of their keys.
 */
export function sampleCandidates(
  views: readonly EndpointView[],
  options: SampleOptions,
): EndpointView[] {
  const { isUsable } = options;
  if (views.length <= MAXIMUM_CANDIDATES) return views.filter(isUsable);
  for (let attempt = 0; attempt < MAXIMUM_SAMPLES; attempt += 1) {
    const usable = drawSample(views, options).filter(isUsable);
    if (usable.length > 0) return usable;
  }
  return [];
}

function drawSample(
  views: readonly EndpointView[],
  { keys, warm, home, random }: SampleOptions,
): EndpointView[] {
  const sample = new Set<EndpointView>();
  const addRange = (start: number, count: number) => {
    for (let offset = 0; offset < count; offset += 1) {
      const view = views[(start + offset) % views.length];
      if (view) sample.add(view);
    }
  };
  if (warm) sample.add(warm);
  keys.forEach((key) => addRange(indexOfKey(views, key), NEAREST_CANDIDATES));
  addRange(Math.floor(home * views.length), HOME_CANDIDATES);
  for (let count = 0; count < RANDOM_CANDIDATES; count += 1) {
    addRange(Math.floor(random() * views.length), 1);
  }
  return [...sample];
}

/** Returns the index of the first endpoint whose position is not before that of `key`. */
function indexOfKey(views: readonly EndpointView[], key: number): number {
  const position = positionOfKey(key);
  let low = 0;
  let high = views.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (positionOfKey(views[middle]?.key ?? 0) < position) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Compares endpoints by the positions of their keys. */
export function compareByPosition(a: EndpointView, b: EndpointView): number {
  return positionOfKey(a.key) - positionOfKey(b.key) || a.key - b.key;
}
