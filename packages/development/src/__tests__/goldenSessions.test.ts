import assert from 'node:assert/strict';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import test from 'node:test';
import { fileURLToPath } from 'node:url';
import { CallerClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { type ProgramRun, runProgram, programScriptsSchema } from '@marjorampin/scripts';
import { readToml } from '@marjorampin/settings';
import { DevelopmentCluster } from '../developmentCluster';

const HERE = dirname(fileURLToPath(import.meta.url));
const EXAMPLES_FOLDER = join(HERE, '../../../../examples');
const FIXTURES_FOLDER = join(HERE, '__fixtures__');

/** Replaces program ids and removes continuations and digests, because they differ between runs. */
function normalize(value: unknown): unknown {
  const placeholders = new Map<string, string>();
  const text = JSON.stringify(value, (key, inner: unknown) =>
    /continuation|digest/i.test(key) ? undefined : inner,
  )
    .replace(/\\"continuation\\":\\"[^\\]*\\"/g, '\\"continuation\\":\\"…\\"')
    .replace(/[a-z-]+\.\d{4}\.[0-9a-f]{24}/g, (id) => {
      const name = placeholders.get(id) ?? `program-${placeholders.size + 1}`;
      placeholders.set(id, name);
      return name;
    });
  return JSON.parse(text);
}

function summarizeSession(run: ProgramRun) {
  const { name, turns, spentTokens, calls } = run;
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

['lesni-stezka', 'calor-justo'].forEach((customer) => {
  test(`the example sessions of ${customer} match the golden file`, async (context) => {
    const folder = join(EXAMPLES_FOLDER, customer);
    const configuration = readToml(join(folder, 'configuration.toml'), configurationFileSchema);
    const scripts = readToml(join(folder, 'programs.toml'), programScriptsSchema).unwrap();
    const cluster = new DevelopmentCluster({ configuration: configuration.unwrap() });
    context.after(() => cluster.close());
    await cluster.start();
    const key = `${customer}-example-key`;
    const client = new CallerClient({ urls: cluster.urls, key, rotatesEntries: true });
    const sessions: unknown[] = [];
    for (const script of scripts.programs) {
      sessions.push(summarizeSession(await runProgram(client, script)));
    }
    const executions = Object.fromEntries([...cluster.executions()].sort());
    await client.close();

    const actual = normalize({ sessions, executions });
    const goldenFile = join(FIXTURES_FOLDER, `${customer}.golden.json`);
    if (process.env.UPDATE_GOLDEN === '1' || !existsSync(goldenFile)) {
      assert.notEqual(
        process.env.CI,
        'true',
        `${goldenFile} can't be written in CI; run locally with UPDATE_GOLDEN=1 and commit it`,
      );
      writeFileSync(goldenFile, `${JSON.stringify(actual, null, 2)}\n`);
    }
    assert.deepEqual(actual, JSON.parse(readFileSync(goldenFile, 'utf8')));
  });
});
