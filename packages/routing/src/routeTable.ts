import type { Destination, Route, RoutedConfiguration, RoutedService } from './route';

/** Finds routes by host and longest path prefix, and services by name. */
export class RouteTable {
  readonly configuration: RoutedConfiguration;

  private readonly routesByHost = new Map<string, Route[]>();

  private readonly services: Map<string, RoutedService>;

  constructor({ configuration }: { configuration: RoutedConfiguration }) {
    this.configuration = configuration;
    this.services = new Map(configuration.services.map((service) => [service.name, service]));
    const longestFirst = [...configuration.routes].sort(
      (a, b) => b.prefix.length - a.prefix.length,
    );
    longestFirst.forEach((route) => {
      const host = route.host.toLowerCase();
      this.routesByHost.set(host, [...(this.routesByHost.get(host) ?? []), route]);
    });
  }

  /** Longest timeout of a route in milliseconds; 0 without routes. */
  get longestTimeoutMs(): number {
    return Math.max(0, ...this.configuration.routes.map(({ timeoutMs }) => timeoutMs));
  }

  /** Returns the route of a request; `host` may include a port, `target` a query. */
  match(host: string, target: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase();
    const path = target.split('?', 1)[0] ?? '';
    return this.routesByHost.get(name)?.find(({ prefix }) => path.startsWith(prefix));
  }

  /** Returns the service of that name, if any. */
  service(name: string): RoutedService | undefined {
    return this.services.get(name);
  }
}

/** Returns the service at `point`, between 0 and 1, of the cumulative weights. */
export function pickService(destinations: Destination[], point: number): string | undefined {
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = point * total;
  const found = destinations.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (found ?? destinations.at(-1))?.service;
}
