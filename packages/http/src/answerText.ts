import type { Dispatcher } from 'undici';
import { framingOf } from './answerFraming';

type Answer = Pick<Dispatcher.ResponseData, 'statusCode' | 'headers' | 'body'>;

const NO_CONTENT = 204;

/**
 * Yields the body of an answer; throws when it is interrupted or larger than the limit. Does not
 * notice an interruption of an answer that is not framed (`isFramed`).
 */
export async function* answerChunks({ body }: Answer, limitBytes: number): AsyncGenerator<Buffer> {
  let bytes = 0;
  for await (const chunk of body) {
    bytes += (chunk as Buffer).length;
    if (bytes > limitBytes) throw new Error(`the answer is larger than ${limitBytes} bytes`);
    yield chunk as Buffer;
  }
}

/** Reads the whole body of an answer as text, with the errors of `answerChunks`. */
export async function answerText(answer: Answer, limitBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of answerChunks(answer, limitBytes)) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
}

/**
 * Returns whether an answer's headers mark the end of its body. Otherwise its connection does, and
 * undici reports a reset connection as the end of the body.
 */
export function isFramed({ statusCode, headers }: Answer): boolean {
  return statusCode === NO_CONTENT || framingOf(headers) !== 'close';
}
