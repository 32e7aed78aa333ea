import { CallError } from '@marjorampin/types';

/** Largest body that is read. */
export const MAXIMUM_BODY_BYTES = 2 * 1024 * 1024;

/** Deepest nesting of arrays and objects that is parsed. */
const MAXIMUM_DEPTH = 32;

/** Reads a request's JSON body; size and depth are bounded before it is parsed. */
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
  let isString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index];
    if (character === '\\' && isString) index += 1;
    else if (character === '"') isString = !isString;
    else if (!isString && (character === '{' || character === '[')) depth += 1;
    else if (!isString && (character === '}' || character === ']')) depth -= 1;
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
