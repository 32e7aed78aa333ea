import type { RawHeaders } from './dialect';

/** Headers that concern one connection only. */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Returns the first value of a header; names are matched in lower case. */
export function headerValue(headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const candidate = headers[index] ?? '';
    // Lengths differ for most names, and several are looked up for each call.
    if (candidate.length === name.length && candidate.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/** Returns the headers without those of one connection, those it names, and `dropped` ones. */
export function endToEndHeaders(headers: RawHeaders, dropped: Set<string>): RawHeaders {
  const connectionOptions = new Set(
    (headerValue(headers, 'connection') ?? '').split(',').map((name) => name.trim().toLowerCase()),
  );
  const kept: RawHeaders = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const key = name.toLowerCase();
    if (!HOP_BY_HOP.has(key) && !connectionOptions.has(key) && !dropped.has(key)) {
      kept.push(name, headers[index + 1] ?? '');
    }
  }
  return kept;
}

/** Returns the bytes that headers take in a message. */
export function headerBytes(headers: RawHeaders): number {
  // Each name and value has two bytes of punctuation around it.
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
