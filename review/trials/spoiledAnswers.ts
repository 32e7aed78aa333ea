/* eslint-disable @stylistic/function-paren-newline, @stylistic/implicit-arrow-linebreak, @stylistic/indent, @stylistic/max-len, @stylistic/nonblock-statement-body-position, @stylistic/object-curly-newline, @stylistic/operator-linebreak, @typescript-eslint/no-use-before-define, curly, import-x/newline-after-import, no-await-in-loop, no-console, no-restricted-syntax, prefer-const, prefer-template -- Relaxed for the sources of the repository as well, or left to prettier. */
/** Trial, no case: plain and model runners that cut, reset, double or spoil their answers; SEED selects the draws. */
import net from 'node:net';
import http from 'node:http';
import type { Host } from '../lib/hosts';
import { runCase } from '../lib/runCase';
import { send } from '../lib/client';
import { sleep } from '../lib/standin';
let seed = Number(process.env.SEED ?? 1);
const rnd = () => {
  seed = (seed * 1103515245 + 12345) % 2147483648;
  return seed / 2147483648;
};
const pick = <T>(a: T[]): T => a[Math.floor(rnd() * a.length)] as T;
const runs = new Map<string, number>();
const seen = new Map<string, number>();
const truth = new Map<string, Set<string>>(); // id -> acceptable whole bodies
function serveRaw(socket: net.Socket, id0: string) {
  let text = '';
  let refusal = '';
  let busy = 0;
  socket.on('error', () => socket.destroy());
  socket.setNoDelay(true);
  socket.on('data', (b) => {
    text += b.toString('latin1');
    next();
  });
  async function next() {
    const end = text.indexOf('\r\n\r\n');
    if (end < 0) return;
    const head = text.slice(0, end);
    const len = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
    if (text.length < end + 4 + len) return;
    text = text.slice(end + 4 + len);
    busy += 1;
    const mine = busy;
    const id = /marjorampin-request-id: (\S+)/i.exec(head)?.[1] ?? '';
    const expect = /marjorampin-expect-instance: (\S+)/i.exec(head)?.[1] ?? '';
    if (expect !== id0) {
      socket.write(
        'HTTP/1.1 421 Misdirected Request\r\nMarjorampin-Instance-Id: ' +
          id0 +
          '\r\nContent-Length: 0\r\n\r\n',
      );
      return;
    }
    const isTurn = /token-count/i.test(head);
    const w = (s: string) => {
      if (!socket.destroyed && socket.writable) socket.write(Buffer.from(s, 'latin1'));
    };
    if (refusal && rnd() < 0.5) {
      const r = refusal;
      refusal = '';
      w(r);
      await sleep(rnd() * 5);
    }
    if (rnd() < 0.08) {
      const withId = rnd() < 0.5 ? `Marjorampin-Request-Id: ${id}\r\n` : '';
      refusal = `HTTP/1.1 ${pick(['503 Service Unavailable', '429 Too Many Requests'])}\r\nMarjorampin-Not-Executed: 1\r\n${withId}Content-Length: 0\r\n\r\n`;
      w(refusal);
      return;
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    await sleep(rnd() * 30);
    const parts = isTurn
      ? Array.from({ length: 4 }, (_, k) => `id: ${k + 1}\ndata: ${id} ev ${k}\n\n`)
      : [`done ${id} `, 'x'.repeat(Math.floor(rnd() * 300))];
    const body = parts.join('');
    const frame = pick(['length', 'chunked', 'close']);
    const status = rnd() < 0.05 ? '500 Internal Server Error' : '200 OK';
    let h = `HTTP/1.1 ${status}\r\nMarjorampin-Request-Id: ${id}\r\nMarjorampin-Response-Seal: seal.${id}\r\n${isTurn ? 'Content-Type: text/event-stream\r\n' : ''}`;
    if (rnd() < 0.1)
      h =
        pick([
          'HTTP/1.1 100 Continue\r\n\r\n',
          'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
          '\r\n',
        ]) + h;
    if (rnd() < 0.1) h += 'Connection: close\r\n';
    if (frame === 'length') h += `Content-Length: ${body.length}\r\n`;
    if (frame === 'chunked') h += 'Transfer-Encoding: chunked\r\n';
    if (frame === 'close') h += 'Connection: close\r\n';
    let out = h + '\r\n';
    const pieces = [out];
    parts
      .filter((p) => p.length > 0)
      .forEach((p) =>
        pieces.push(frame === 'chunked' ? `${p.length.toString(16)}\r\n${p}\r\n` : p),
      );
    if (frame === 'chunked') pieces.push('0\r\n\r\n');
    const full = pieces.join('');
    const acceptable = truth.get(id) ?? new Set<string>();
    acceptable.add(body);
    truth.set(id, acceptable);
    const fault = rnd();
    if (fault < 0.12) {
      // cut anywhere
      const at = Math.floor(rnd() * full.length);
      const cut = full.slice(0, at);
      // Without a length the end of the connection is the end of the body.
      const reset = rnd() < 0.5;
      if (frame === 'close' && !reset && at >= pieces[0]!.length)
        acceptable.add(full.slice(pieces[0]!.length, at));
      w(cut);
      await sleep(rnd() * 10);
      if (reset) socket.resetAndDestroy();
      else socket.end();
      return;
    }
    if (fault < 0.18) {
      w(
        pick([
          'garbage\r\n\r\n',
          'HTTP/9.9 200 OK\r\n\r\n',
          '\u0000\u0001',
          'HTTP/1.1 200\r\n',
          'HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n',
          'HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n',
        ]),
      );
      if (rnd() < 0.5) {
        await sleep(5);
        socket.end();
      } else {
        await sleep(3000);
        socket.destroy();
      }
      return;
    }
    if (fault < 0.22) {
      await sleep(rnd() * 4000);
      socket.destroy();
      return;
    }
    for (const p of pieces) {
      w(p);
      if (rnd() < 0.3) await sleep(rnd() * 8);
    }
    if (frame === 'close') {
      socket.end();
      return;
    }
    if (fault < 0.32) {
      if (rnd() < 0.5) await sleep(rnd() * 20);
      if (busy === mine) w(full);
    } // a second copy
    if (fault > 0.32 && fault < 0.36) {
      if (rnd() < 0.5) await sleep(rnd() * 20);
      if (busy === mine) w('extra bytes');
    }
    if (fault > 0.36 && fault < 0.4) {
      await sleep(rnd() * 30);
      if (busy === mine) socket.destroy();
    }
  }
}
runCase('trials', async (d) => {
  for (const r of d.runners) {
    const host = d.runners.indexOf(r) + 1;
    await r.close();
    await new Promise<void>((resolve) => {
      net
        .createServer((s) => serveRaw(s, r.options.id))
        .listen((d as any).ports.runner, `${(d as any).network}.4.${host}`, resolve);
    });
  }
  await sleep(1500);
  const broken: string[] = [];
  const counts = new Map<string, number>();
  const until = performance.now() + 80_000;
  const worker = async (k: number) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    while (performance.now() < until) {
      const entry = d.entries[k % 3] as Host;
      const kind = pick(['cert', 'lookup', 'walk']);
      const id = d.nextId(kind);
      const a =
        kind === 'walk'
          ? await d.sendTurn(
              entry,
              { id, program: 'p' + id, budget: 2000, tokens: 80, input: 'x' + id },
              agent,
            )
          : await send(
              {
                id,
                entry: d.addressOf(entry),
                method: kind === 'cert' ? 'POST' : 'GET',
                path: `/${kind}/${Math.floor(rnd() * 1e6)}`,
                headers: {},
                body: kind === 'cert' ? 'b' + id : '',
                deadlineMs: 1400,
                agent,
              },
              d.record,
            );
      const ran = runs.get(id) ?? 0;
      const key = `${kind} ${a.status} ${a.isWhole ? 'whole' : 'cut'} ${ran > 0 ? 'run' : 'not run'}`;
      counts.set(key, (counts.get(key) ?? 0) + 1);
      if (a.status === 200 && a.isWhole && !truth.get(id)?.has(a.body))
        broken.push(
          `MIXED ${id} ${JSON.stringify(a.body.slice(0, 80))} truth ${JSON.stringify([...(truth.get(id) ?? [])].map((t) => t.slice(0, 60)))}`,
        );
      if (a.status === 200 && a.seal !== `seal.${id}`) broken.push(`SEAL ${id} ${a.seal}`);
      if ([503, 429, 408, 421].includes(a.status as number) && ran > 0 && kind !== 'lookup')
        broken.push(`REFUSED ${id} ${a.status}`);
      seen.set(id, 1);
    }
  };
  await Promise.all(Array.from({ length: 24 }, (_, k) => worker(k)));
  runs.forEach((n, id) => {
    if (n > 1 && !id.startsWith('lookup')) broken.push(`TWICE ${id} ${n}`);
  });
  counts.forEach((v, k) => console.log(String(v).padStart(6), k));
  console.log(broken.length, broken);
  return broken;
});
