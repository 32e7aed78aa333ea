import type { RawHeaders } from './headerCodec';

/** Headers that apply to a single connection and are not forwarded, in lower case. */
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

/** Returns the first value of a header; `name` is in lower case. */
export function headerValue(headers: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const header = headers[index] ?? '';
    // Several headers are looked up for each call; comparing lengths first rules out most names.
    if (header.length === name.length && header.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

/** Returns all values of a header, in the order of the message; `name` is in lower case. */
export function headerValues(headers: RawHeaders, name: string): string[] {
  return headers.filter((_, index) => {
    const header = index % 2 === 1 ? (headers[index - 1] ?? '') : '';
    return header.length === name.length && header.toLowerCase() === name;
  });
}

/** Returns the headers without hop-by-hop ones, those listed in `Connection`, and `dropped` ones. */
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

/** Returns the size of headers in a message, in bytes. */
export function headerBytes(headers: RawHeaders): number {
  // Two bytes follow each name (": ") and each value (CRLF).
  return headers.reduce((sum, text) => sum + text.length + 2, 0);
}
