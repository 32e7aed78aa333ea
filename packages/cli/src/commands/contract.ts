import { configurationFileSchema } from '@marjorampin/configuration';
import { readToml } from '@marjorampin/settings';
import { type AdministrationOptions, callAdministrationApi } from './administration';
import { requireOption } from './requireOption';

interface ApplyOptions extends AdministrationOptions {
  file?: string;
  expectedRevision?: number;
}

/** Prints a customer's contract and its revision. */
export async function printContract(
  customer: string,
  options: AdministrationOptions,
): Promise<void> {
  const contract = await callAdministrationApi('GET', `/contracts/${customer}`, options);
  console.log(JSON.stringify(contract, null, 2));
}

/** Applies all services and contracts of a file; applying it again changes nothing. */
export async function applyContracts(options: ApplyOptions): Promise<void> {
  const file = readToml(requireOption(options.file, 'file'), configurationFileSchema);
  if (file.err) throw file.val;
  const { services, contracts } = file.val;
  if (services.length > 0) {
    await callAdministrationApi('PUT', '/services', options, { services });
    console.log(`services: ${services.map(({ name }) => name).join(', ')} applied`);
  }
  for (const contract of contracts) {
    const { expectedRevision } = options;
    const precondition = expectedRevision === undefined ? {} : { expectedRevision };
    const path = `/contracts/${contract.customer}`;
    const written = await callAdministrationApi('PUT', path, options, {
      contract,
      ...precondition,
    });
    console.log(`contract: ${JSON.stringify(written)}`);
  }
}
