/** Looks up the contract, the service and the priority that apply to a call. */
import type { ConfigurationView } from '@marjorampin/configuration';
import {
  CallError,
  type Contract,
  customerPartitions,
  type Priority,
  type Service,
  type ServiceKind,
} from '@marjorampin/types';

/** Returns a customer's contract; throws `unknown-contract`. */
export function contractOf(configuration: ConfigurationView, customer: string): Contract {
  const contract = configuration.contract(customer);
  if (contract) return contract;
  const message = `there is no contract for "${customer}"; ask the operators for one`;
  throw new CallError({ kind: 'unknown-contract', message });
}

/** Returns a service that the contract includes; throws `unknown-service` or `forbidden`. */
export function serviceOf(
  configuration: ConfigurationView,
  contract: Contract,
  name: string,
  kind: ServiceKind,
): Service {
  const service = configuration.service(name);
  if (!service || service.kind !== kind) {
    const message = `there is no ${kind} service "${name}"; use one of: ${contract.services.join(', ')}`;
    throw new CallError({ kind: 'unknown-service', message });
  }
  if (contract.services.includes(name)) return service;
  const message = `the contract of "${contract.customer}" does not include "${name}"; use one of: ${contract.services.join(', ')}`;
  throw new CallError({ kind: 'forbidden', message });
}

/**
 * Returns the partitions that a customer's new programs are assigned to. Each owner keeps to its part
 * of the contract's limits, so there are at most as many partitions as whole parts of each limit.
 */
export function usedPartitions({ customer, partitions, limits }: Contract): number[] {
  const { concurrentPrograms, callsPerSecond } = limits;
  const count = Math.min(partitions, concurrentPrograms, callsPerSecond);
  return customerPartitions(customer, count);
}

/** Returns whether the process owns a partition. */
type Ownership = (partition: number) => boolean;

/** Returns the part of the contract's concurrent programs that belongs to the owned partitions. */
export function programAllowance(contract: Contract, owns: Ownership): number {
  const partitions = usedPartitions(contract);
  const { concurrentPrograms } = contract.limits;
  const base = Math.floor(concurrentPrograms / partitions.length);
  const remainder = concurrentPrograms % partitions.length;
  return partitions.reduce((sum, partition, index) => {
    const part = base + (index < remainder ? 1 : 0);
    return owns(partition) ? sum + part : sum;
  }, 0);
}

/** Returns the part of the contract's calls per second that belongs to the owned partitions. */
export function callRateAllowance(contract: Contract, owns: Ownership): number {
  const partitions = usedPartitions(contract);
  const ownedCount = partitions.filter(owns).length;
  const { callsPerSecond } = contract.limits;
  // Programs that were opened under higher limits may be in a partition without a part.
  if (ownedCount === 0) return callsPerSecond / Math.max(1, contract.partitions);
  return (callsPerSecond * ownedCount) / partitions.length;
}

/** Returns the priority of a call: `background` for services in the contract's `mayWait`. */
export function priorityOf({ mayWait, priority }: Contract, service: Service): Priority {
  return mayWait.includes(service.name) ? 'background' : priority;
}
