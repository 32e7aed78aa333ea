/* eslint-disable @stylistic/object-curly-newline, @stylistic/implicit-arrow-linebreak, @stylistic/function-paren-newline, @stylistic/max-len -- formatted by Prettier */

/** A client: one request on a new channel. */
import { randomBytes } from 'node:crypto';
import http from 'node:http';

export interface Call {
  ip: string;
  port: number;
  path: string;
  method?: string;
  host: string;
  headers?: Record<string, string>;
  body?: Buffer | string;
  deadlineMs: number;
}

export interface Answer {
  id: string;
  /** 0 without an answer. */
  status: number;
  isWhole: boolean;
  body: string;
  headers: http.IncomingHttpHeaders;
  ms: number;
}

export function newId(): string {
  return randomBytes(8).toString('hex');
}

export function send(call: Call, id = newId()): Promise<Answer> {
  const { ip, port, path, method = 'POST', host, headers, body = '', deadlineMs } = call;
  const startedMs = Date.now();
  return new Promise((resolve) => {
    const finish = (answer: Partial<Answer>) =>
      resolve({
        id,
        status: 0,
        isWhole: false,
        body: '',
        headers: {},
        ms: Date.now() - startedMs,
        ...answer,
      });
    let hasAnswer = false;
    const request = http.request(
      {
        host: ip,
        port,
        method,
        path,
        agent: false,
        headers: {
          Host: host,
          'Marjorampin-Request-Id': id,
          'Marjorampin-Deadline-Ms': String(deadlineMs),
          ...(method === 'GET' ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
          ...headers,
        },
      },
      (message) => {
        hasAnswer = true;
        const chunks: Buffer[] = [];
        message.on('error', () => undefined).on('data', (chunk: Buffer) => chunks.push(chunk));
        message.on('close', () =>
          finish({
            status: message.statusCode ?? 0,
            isWhole: message.complete,
            body: Buffer.concat(chunks).toString(),
            headers: message.headers,
          }),
        );
      },
    );
    const timer = setTimeout(() => request.destroy(), deadlineMs + 500);
    request.on('error', () => !hasAnswer && finish({}));
    request.on('close', () => {
      clearTimeout(timer);
      if (!hasAnswer) finish({});
    });
    request.end(body);
  });
}

export function pause(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
