import { readFileSync } from 'node:fs';
import { SAMPLING_DIVISOR } from '@marjorampin/logging';
import { renderTimeline } from '../explain/timeline';

/** Prints the timeline of a request or program from the logs of several processes. */
export async function printExplanation(id: string, files: string[]): Promise<void> {
  if (files.length === 0) throw new Error('no log files given; use "explain ID FILE..."');
  const logs = files.map((file) => readFileSync(file, 'utf8'));
  const timeline = renderTimeline(id, logs);
  if (timeline.length > 0) {
    console.log(timeline.join('\n'));
    return;
  }
  const message = `no events found for ${id}; only one successful request in ${SAMPLING_DIVISOR} is logged, so check the logs of all entries for failures`;
  throw new Error(message);
}
