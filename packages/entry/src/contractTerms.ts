/** Looks up the contract, the service and the priority that apply to a call. */
import type { ConfigurationView } from '@marjorampin/configuration';
import {
  CallError,
  type Contract,
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

/** Returns the priority of a call: `background` for services in the contract's `mayWait`. */
export function priorityOf({ mayWait, priority }: Contract, service: Service): Priority {
  return mayWait.includes(service.name) ? 'background' : priority;
}
