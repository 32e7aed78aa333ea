import { type KeyValueStore, WatchedPrefix } from '@marjorampin/store';
import {
  type Clock,
  type Contract,
  sha256Hex,
  type SealingKey,
  type Service,
} from '@marjorampin/types';
import {
  CONFIGURATION_PREFIX,
  CONTRACT_PREFIX,
  type ContractBucket,
  SEALING_KEYS_KEY,
  SERVICES_KEY,
} from './configurationKeys';

/** Options of `ConfigurationView`. */
export interface ConfigurationViewOptions {
  store: KeyValueStore;
  clock: Clock;
}

/** The configuration that is in force in this process, updated as the store changes. */
export class ConfigurationView {
  private readonly watched: WatchedPrefix;

  private contracts = new Map<string, Contract>();

  private customersByKeyDigest = new Map<string, string>();

  private services = new Map<string, Service>();

  private keys: SealingKey[] = [];

  constructor({ store, clock }: ConfigurationViewOptions) {
    this.watched = new WatchedPrefix({ store, clock, prefix: CONFIGURATION_PREFIX });
    this.watched.onChange(() => this.refresh());
  }

  /** Reads the configuration, retrying until it succeeds, and watches it for changes. */
  async start(): Promise<void> {
    await this.watched.start();
    this.refresh();
  }

  /** Stops watching for changes. */
  stop(): void {
    this.watched.stop();
  }

  /** Returns a customer's contract, or undefined if there is none. */
  contract(customer: string): Contract | undefined {
    return this.contracts.get(customer);
  }

  /** Returns the objective of each contract, by customer. */
  objectives(): Record<string, number> {
    const entries = [...this.contracts.values()].map(({ customer, objective }) => [
      customer,
      objective,
    ]);
    return Object.fromEntries(entries) as Record<string, number>;
  }

  /** Returns the contract that lists the digest of a caller's key, or undefined if none does. */
  contractOfKey(key: string): Contract | undefined {
    return this.contracts.get(this.customersByKeyDigest.get(sha256Hex(key)) ?? '');
  }

  /** Returns a service, or undefined if it is not configured. */
  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** The keys that open continuations; the one with the highest number seals new continuations. */
  get sealingKeys(): SealingKey[] {
    return this.keys;
  }

  /** Returns the versions of all values in force, by store key. */
  versions(): Record<string, number> {
    return Object.fromEntries(this.watched.all().map(({ key, version }) => [key, version]));
  }

  private refresh(): void {
    const contracts = this.watched
      .all()
      .filter(({ key }) => key.startsWith(CONTRACT_PREFIX))
      .flatMap(({ value }) => (JSON.parse(value) as ContractBucket).contracts);
    this.contracts = new Map(contracts.map((contract) => [contract.customer, contract]));
    this.customersByKeyDigest = new Map(
      contracts.flatMap(({ customer, keyDigests }) =>
        keyDigests.map((digest): [string, string] => [digest, customer]),
      ),
    );
    const services = this.parse<{ services: Service[] }>(SERVICES_KEY)?.services ?? [];
    this.services = new Map(services.map((service) => [service.name, service]));
    this.keys = this.parse<{ sealingKeys: SealingKey[] }>(SEALING_KEYS_KEY)?.sealingKeys ?? [];
  }

  private parse<Value>(key: string): Value | undefined {
    const stored = this.watched.get(key);
    return stored ? (JSON.parse(stored.value) as Value) : undefined;
  }
}
