import { type ByteAccount, GrowingBuffer } from '@marjorampin/http';
import { CallError } from '@marjorampin/types';

/** Maximum size of a request body. */
export const MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

/** Maximum nesting depth of arrays and objects. */
const MAXIMUM_DEPTH = 32;

/** Time after which a caller may repeat a request whose body was refused. */
const RETRY_AFTER_MS = 300;

/**
 * Reads a JSON request body; `held` counts what is read of it. Its size and depth are checked before it is parsed; throws
 * `too-large`, `overloaded` or `invalid-request`.
 */
export async function readJson(request: Request, held: ByteAccount): Promise<unknown> {
  const text = await readText(request, held);
  checkDepth(text);
  try {
    return JSON.parse(text === '' ? '{}' : text);
  } catch {
    const message = 'the body is not JSON; send a JSON object';
    throw new CallError({ kind: 'invalid-request', message });
  }
}

async function readText(request: Request, held: ByteAccount): Promise<string> {
  if (Number(request.headers.get('content-length') ?? 0) > MAXIMUM_BODY_BYTES) throw tooLarge();
  if (!request.body) return '';
  const buffer = new GrowingBuffer({ maximumBytes: MAXIMUM_BODY_BYTES });
  let isBroken = false;
  const breakOff = () => {
    isBroken = true;
    buffer.clear();
  };
  const holding = held.open({ kind: 'input', breakOff });
  try {
    for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
      if (isBroken) throw bodiesTooLarge();
      if (buffer.length + chunk.length > MAXIMUM_BODY_BYTES) throw tooLarge();
      buffer.append(Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length));
      holding.resize(buffer.capacity);
    }
    if (isBroken) throw bodiesTooLarge();
    return new TextDecoder().decode(buffer.bytes);
  } finally {
    holding.close();
  }
}

function bodiesTooLarge(): CallError {
  const message = `the bodies of the requests in progress are too large together; retry after ${RETRY_AFTER_MS} ms`;
  return new CallError({ kind: 'overloaded', message, retryAfterMs: RETRY_AFTER_MS });
}

function checkDepth(text: string): void {
  let depth = 0;
  let isInString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (character === '\\' && isInString) index += 1;
    else if (character === '"') isInString = !isInString;
    else if (!isInString && (character === '{' || character === '[')) depth += 1;
    else if (!isInString && (character === '}' || character === ']')) depth -= 1;
    if (depth > MAXIMUM_DEPTH) {
      const message = `the body is nested deeper than ${MAXIMUM_DEPTH} levels; flatten it`;
      throw new CallError({ kind: 'too-large', message });
    }
  }
}

function tooLarge(): CallError {
  const message = `the body is larger than ${MAXIMUM_BODY_BYTES} bytes; send less at once`;
  return new CallError({ kind: 'too-large', message });
}
