import { type AdministrationOptions, callAdministrationApi } from './administration';

/** Prints the members, endpoints and configuration as an entry sees them. */
export async function printStatus(options: AdministrationOptions): Promise<void> {
  console.log(JSON.stringify(await callAdministrationApi('GET', '/status', options), null, 2));
}
