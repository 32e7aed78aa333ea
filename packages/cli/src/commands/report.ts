import { mergeBurn, type ProcessBurn, renderBurn } from '@marjorampin/metrics';
import { type AdministrationOptions, callAdministrationApi } from './administration';

interface ReportOptions extends AdministrationOptions {
  json?: boolean;
}

/** Prints the burn rate of each customer's error budget, merged from all entries in `--url`. */
export async function printReport(name: string, options: ReportOptions): Promise<void> {
  if (name !== 'burn') throw new Error('use "report burn"');
  const urls = options.url.split(',');
  const processes = await Promise.all(
    urls.map((url) => callAdministrationApi('GET', '/burn', { ...options, url })),
  );
  const rows = mergeBurn(processes as ProcessBurn[]);
  console.log(options.json ? JSON.stringify(rows, null, 2) : renderBurn(rows));
}
