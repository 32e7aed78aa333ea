import {
  answerChunks,
  answerText,
  isFramed,
  MAXIMUM_ANSWER_BYTES,
  sendRequest,
} from '@marjorampin/http';
import { CallError, parseJson } from '@marjorampin/types';
import * as z from 'zod';
import { createDispatcher } from './endpointConnections';
import {
  type EndpointLoad,
  ModelEndpoint,
  type ModelOutcome,
  type ModelRequest,
} from './modelEndpoint';

/** Timeout of all requests except `/generate`. */
const CONTROL_TIMEOUT_MS = 2_000;

/** Largest count that messages between processes can hold. */
const MAXIMUM_COUNT = 2 ** 32 - 1;

const count = z.number().int().min(0).max(MAXIMUM_COUNT);

const outcome = z.object({
  text: z.string(),
  inputTokens: count,
  cachedTokens: count,
  rebuiltTokens: count,
  outputTokens: count,
});

/** An event of a generation: a piece of text or the result, which is null after a cancellation. */
const engineEvent = z.union([
  z.object({ text: z.string() }),
  z.object({ result: outcome.nullable() }),
]);

const engineLoad = z.object({ running: count, queued: count, cachedTokens: count });
const programIds = z.array(z.string());

/** Calls a model engine over HTTP, which streams its text as server-sent events. */
export class HttpModelEndpoint extends ModelEndpoint {
  private readonly url: string;

  private readonly dispatcher = createDispatcher();

  constructor({ url }: { url: string }) {
    super();
    this.url = url.replace(/\/$/, '');
  }

  override async generate(
    call: ModelRequest,
    onText: (text: string) => void,
    signal: AbortSignal,
  ): Promise<ModelOutcome> {
    const response = await sendRequest(`${this.url}/generate`, {
      method: 'POST',
      dispatcher: this.dispatcher,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(call),
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw this.failure(`status ${response.statusCode}`);
    }
    let result: ModelOutcome | null = null;
    for await (const data of eventData(answerChunks(response, MAXIMUM_ANSWER_BYTES))) {
      const event = this.decode(engineEvent, data, 'an event');
      if ('result' in event) result = event.result;
      else onText(event.text);
    }
    if (!result) throw this.failure('the stream ended without a result');
    return result;
  }

  override async release(program: string): Promise<void> {
    await this.post('/release', JSON.stringify({ program }));
  }

  override async load(): Promise<EndpointLoad> {
    return this.decode(engineLoad, await this.fetchText('GET', '/load'), 'its load');
  }

  override async exportContext(program: string): Promise<string> {
    return this.post('/export', JSON.stringify({ program }));
  }

  override async importContext(exported: string): Promise<void> {
    await this.post('/import', exported);
  }

  override async cachedPrograms(): Promise<string[]> {
    return this.decode(programIds, await this.fetchText('GET', '/held'), 'its programs');
  }

  private decode<Schema extends z.ZodType>(
    schema: Schema,
    text: string,
    what: string,
  ): z.infer<Schema> {
    const parsed = schema.safeParse(parseJson(text));
    if (parsed.success) return parsed.data;
    throw this.failure(`${what} has an unexpected form`);
  }

  private post(path: string, body: string): Promise<string> {
    return this.fetchText('POST', path, body);
  }

  private async fetchText(method: 'GET' | 'POST', path: string, body?: string): Promise<string> {
    const response = await sendRequest(`${this.url}${path}`, {
      method,
      dispatcher: this.dispatcher,
      headers: { 'content-type': 'application/json' },
      body: body ?? null,
      signal: AbortSignal.timeout(CONTROL_TIMEOUT_MS),
    });
    const text = await answerText(response, MAXIMUM_ANSWER_BYTES);
    if (response.statusCode >= 400) throw this.failure(`status ${response.statusCode} on ${path}`);
    // An interrupted answer of this kind looks complete.
    if (!isFramed(response)) throw this.failure(`no length or chunks in its answer on ${path}`);
    return text;
  }

  private failure(reason: string): CallError {
    const message = `engine at ${this.url} failed: ${reason}; check the engine (a call may be retried at another endpoint)`;
    return new CallError({ kind: 'endpoint-failed', message, execution: 'unknown' });
  }
}

/** Yields the data of each event. */
async function* eventData(chunks: AsyncIterable<Buffer>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const chunk of chunks) {
    buffered += decoder.decode(chunk, { stream: true });
    const events = buffered.split('\n\n');
    buffered = events.pop() ?? '';
    for (const event of events) {
      yield event.slice('data: '.length);
    }
  }
}
