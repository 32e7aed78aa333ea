/* eslint-disable @stylistic/max-len, @stylistic/object-curly-newline, @typescript-eslint/consistent-indexed-object-style -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Client of the entries, one request at a time on a connection. */
import http from 'node:http';
import type { Record } from './record';

/** A request of a client. */
export interface ClientRequest {
  id: string;
  /** Address of the entry, `IP:port`. */
  entry: string;
  method: 'GET' | 'POST';
  path: string;
  headers: { [name: string]: string };
  body?: string;
  deadlineMs: number;
  agent?: http.Agent;
}

/** What a client saw. */
export interface ClientAnswer {
  /** Status, or `none` if the connection ended without an answer. */
  status: number | 'none';
  body: string;
  /** Whether the whole answer arrived. */
  isWhole: boolean;
  seal: string | undefined;
  ms: number;
}

/** Host of all routes. */
export const HOST = 'review.example';

/** Sends a request and resolves with the answer; the client gives up half a second after its deadline. */
export function send(request: ClientRequest, record: Record): Promise<ClientAnswer> {
  const { id, entry, method, path, body = '', deadlineMs, agent } = request;
  const [host, port] = entry.split(':');
  const startedAtMs = performance.now();
  record.write(`client sends ${id} (${method} ${path}) to ${entry}`);
  return new Promise((resolve) => {
    let text = '';
    let status: ClientAnswer['status'] = 'none';
    let seal: string | undefined;
    let isSettled = false;
    const settle = (isWhole: boolean) => {
      if (isSettled) return;
      isSettled = true;
      const ms = Math.round(performance.now() - startedAtMs);
      record.write(
        `client gets ${status} for ${id} after ${ms} ms, ${isWhole ? 'whole' : 'broken off'}${status === 200 ? '' : ` ${text.trim()}`}`,
      );
      resolve({ status, body: text, isWhole, seal, ms });
    };
    const outgoing = http.request(
      {
        host,
        port: Number(port),
        method,
        path,
        agent: agent ?? false,
        headers: {
          Host: HOST,
          'Marjorampin-Request-Id': id,
          'Marjorampin-Deadline-Ms': String(deadlineMs),
          ...(method === 'POST' ? { 'Content-Length': String(Buffer.byteLength(body)) } : {}),
          ...request.headers,
        },
      },
      (response) => {
        status = response.statusCode ?? 'none';
        seal = response.headers['marjorampin-response-seal'] as string | undefined;
        response.setEncoding('utf8');
        response.on('data', (part: string) => {
          text += part;
        });
        response.on('error', () => settle(false));
        response.on('end', () => settle(response.complete));
      },
    );
    outgoing.on('error', () => settle(false));
    outgoing.on('close', () => settle(false));
    setTimeout(() => outgoing.destroy(), deadlineMs + 500).unref();
    outgoing.end(body);
  });
}
