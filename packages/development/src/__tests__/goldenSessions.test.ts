import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import test from 'node:test';
import { fileURLToPath } from 'node:url';
import { CallerClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { type PlayedProgram, playProgram, programScriptsSchema } from '@marjorampin/scripts';
import { readToml } from '@marjorampin/settings';
import { DevelopmentCluster } from '../developmentCluster';

const HERE = dirname(fileURLToPath(import.meta.url));
const EXAMPLES = join(HERE, '../../../../examples');
const FIXTURES = join(HERE, '__fixtures__');

/** Replaces what is random: program ids, continuations and digests. */
function normalise(value: unknown): unknown {
  const names = new Map<string, string>();
  const text = JSON.stringify(value, (key, inner: unknown) =>
    /continuation|digest/i.test(key) ? undefined : inner,
  )
    .replace(/\\"continuation\\":\\"[^\\]*\\"/g, '\\"continuation\\":\\"…\\"')
    .replace(/[a-z-]+\.\d{4}\.[0-9a-f]{24}/g, (id) => {
      const name = names.get(id) ?? `program-${names.size + 1}`;
      names.set(id, name);
      return name;
    });
  return JSON.parse(text);
}

function session(played: PlayedProgram) {
  const { name, turns, spentTokens, calls } = played;
  const answers = calls.map(({ label, answer }) => ({
    label,
    turn: answer.turn,
    text: answer.text,
    status: answer.status,
    body: answer.body,
    spentTokens: answer.usage.spentTokens,
  }));
  return { name, turns, spentTokens, answers };
}

['lesni-stezka', 'calor-justo'].forEach((user) => {
  test(`whole sessions of ${user} are as recorded`, async (context) => {
    const folder = join(EXAMPLES, user);
    const configuration = readToml(join(folder, 'configuration.toml'), configurationFileSchema);
    const scripts = readToml(join(folder, 'programs.toml'), programScriptsSchema).unwrap();
    const cluster = new DevelopmentCluster({ configuration: configuration.unwrap() });
    context.after(() => cluster.close());
    await cluster.start();
    const key = `${user}-example-key`;
    const client = new CallerClient({ urls: cluster.urls, key, rotates: true });
    const sessions: unknown[] = [];
    for (const script of scripts.programs) {
      sessions.push(session(await playProgram(client, script)));
    }
    const executions = Object.fromEntries([...cluster.executions()].sort());
    await client.close();

    const actual = normalise({ sessions, executions });
    const golden = join(FIXTURES, `${user}.golden.json`);
    if (process.env.UPDATE_GOLDEN === '1' || !existsSync(golden)) {
      assert.notEqual(process.env.CI, 'true', `${golden} is missing; run with UPDATE_GOLDEN=1`);
      writeFileSync(golden, `${JSON.stringify(actual, null, 2)}\n`);
    }
    assert.deepEqual(actual, JSON.parse(readFileSync(golden, 'utf8')));
  });
});
