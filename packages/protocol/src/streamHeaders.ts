import type http2 from 'node:http2';

/** Converts the headers of an HTTP/2 stream, except those of the protocol such as `:path`. */
export function toHeaders(fields: http2.IncomingHttpHeaders): Headers {
  const headers = new Headers();
  Object.entries(fields)
    .filter(([name, value]) => !name.startsWith(':') && value !== undefined)
    .forEach(([name, value]) => [value].flat().forEach((each) => headers.append(name, `${each}`)));
  return headers;
}
