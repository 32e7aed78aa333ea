import { CallError } from '@marjorampin/types';

/** Maximum size of a request body. */
export const MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

/** Maximum nesting depth of arrays and objects. */
const MAXIMUM_DEPTH = 32;

/**
 * Reads a JSON request body. Its size and depth are checked before it is parsed; throws
 * `too-large` or `invalid-request`.
 */
export async function readJson(request: Request): Promise<unknown> {
  const text = await readText(request);
  checkDepth(text);
  try {
    return JSON.parse(text === '' ? '{}' : text);
  } catch {
    const message = 'the body is not JSON; send a JSON object';
    throw new CallError({ kind: 'invalid-request', message });
  }
}

async function readText(request: Request): Promise<string> {
  if (Number(request.headers.get('content-length') ?? 0) > MAXIMUM_BODY_BYTES) throw tooLarge();
  const decoder = new TextDecoder();
  let text = '';
  let bytes = 0;
  if (!request.body) return text;
  for await (const chunk of request.body as unknown as AsyncIterable<Uint8Array>) {
    bytes += chunk.length;
    if (bytes > MAXIMUM_BODY_BYTES) throw tooLarge();
    text += decoder.decode(chunk, { stream: true });
  }
  return text + decoder.decode();
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
