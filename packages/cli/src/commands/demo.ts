import { CallerClient } from '@marjorampin/client';
import { configurationFileSchema } from '@marjorampin/configuration';
import { DevelopmentCluster } from '@marjorampin/development';
import { type ProgramRun, runProgram, programScriptsSchema } from '@marjorampin/scripts';
import { readToml } from '@marjorampin/settings';

const CUSTOMERS = [
  { name: 'lesni-stezka', domains: ['zone-1', 'zone-2', 'zone-3', 'zone-4'] },
  { name: 'calor-justo', domains: ['zone-1', 'zone-2', 'zone-3'] },
];

/** Runs the example programs of both customers on real entries and agents in this process, and
 * prints the duration and tokens of each call. */
export async function runDemo({ examples }: { examples: string }): Promise<void> {
  for (const { name, domains } of CUSTOMERS) await runExample(`${examples}/${name}`, name, domains);
}

async function runExample(path: string, customer: string, domains: string[]): Promise<void> {
  const configuration = readToml(`${path}/configuration.toml`, configurationFileSchema);
  if (configuration.err) throw configuration.val;
  const scripts = readToml(`${path}/programs.toml`, programScriptsSchema);
  if (scripts.err) throw scripts.val;
  const cluster = new DevelopmentCluster({ configuration: configuration.val, domains });
  await cluster.start();
  const key = `${customer}-example-key`;
  const client = new CallerClient({ urls: cluster.urls, key, rotatesEntries: true });
  console.log(
    `\n${customer}: ${cluster.entries.length} entries, ${cluster.endpoints.length} endpoints`,
  );
  for (const script of scripts.val.programs) printProgram(await runProgram(client, script));
  console.log('  executions of at-most-once calls:');
  cluster.executions().forEach((count, call) => console.log(`    ${count} x ${call}`));
  await client.close();
  await cluster.close();
}

function printProgram(run: ProgramRun): void {
  const { name, program, calls, totalMs } = run;
  console.log(`  program "${name}" (${program})`);
  calls.forEach(({ label, totalMs: ms, answer }) => {
    const { inputTokens, cachedTokens, rebuiltTokens, outputTokens } = answer.usage;
    const tokens = `in ${inputTokens}, cached ${cachedTokens}, rebuilt ${rebuiltTokens}, out ${outputTokens}`;
    const detail = label.startsWith('model') ? tokens : `status ${answer.status}`;
    console.log(`    ${label.padEnd(26)} ${ms.toFixed(0).padStart(5)} ms  ${detail}`);
  });
  const { inputTokens, outputTokens, spentTokens, rebuiltTokens } = run;
  console.log(
    `    ${calls.length} calls in ${totalMs.toFixed(0)} ms; tokens in ${inputTokens}, out ${outputTokens}, charged ${spentTokens}, rebuilt ${rebuiltTokens}`,
  );
}
