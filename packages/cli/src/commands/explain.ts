import { readFileSync } from 'node:fs';
import { ROUTINE_SHARE } from '@marjorampin/logging';
import { storyOf } from '../explain/story';

/** Prints what the logs of several processes say about a request or a program. */
export async function printExplanation(id: string, files: string[]): Promise<void> {
  if (files.length === 0) throw new Error('name the log files: explain ID FILE...');
  const texts = files.map((file) => readFileSync(file, 'utf8'));
  const story = storyOf(id, texts);
  if (story.length > 0) {
    console.log(story.join('\n'));
    return;
  }
  const message = `no line names ${id}; successes are written for one request in ${ROUTINE_SHARE}, so look for its failures in the logs of all entries`;
  throw new Error(message);
}
