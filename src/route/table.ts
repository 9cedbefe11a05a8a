import type {
  CallerLimits,
  Route,
  RoutingDocument,
  Service,
  Workspace,
} from './document.js';

/** How the key of a caller is judged. */
export type Admittance =
  | {type: 'open'}
  | {type: 'workspace'; workspace: Workspace}
  | {type: 'unauthenticated'};

/** Look-ups in one version of the routing configuration. */
export class RoutingTable {
  readonly version: number;
  readonly limits: CallerLimits;
  private readonly hosts = new Map<string, Map<string, Route>>();
  private readonly workspaces?: Map<string, Workspace>;
  private readonly services: Map<string, Service>;
  private readonly lowestTiers = new Map<string, number>();
  private readonly pauses = new Map<string, number[]>();

  constructor(readonly document: RoutingDocument) {
    this.version = document.version;
    this.limits = document.limits;
    for (const route of document.routes) {
      const prefixes = this.hosts.get(route.host) ?? new Map<string, Route>();
      this.hosts.set(route.host, prefixes.set(route.prefix, route));
      this.account(route);
    }
    this.services = new Map(
      document.services.map(service => [service.name, service]),
    );
    if (document.workspaces === undefined) return;
    this.workspaces = new Map(
      document.workspaces.flatMap(workspace =>
        workspace.keys.map(key => [key, workspace] as const),
      ),
    );
  }

  /** The route of the longest prefix that begins `path`; no query. */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.hosts.get(host);
    if (prefixes === undefined) return undefined;
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const route = prefixes.get(path.slice(0, slash + 1));
      if (route !== undefined) return route;
      if (slash === 0) break;
      slash = path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }

  /** Judges the key that came with a request of a route. */
  admit(route: Route, key: string | undefined): Admittance {
    if (route.open || this.workspaces === undefined) return {type: 'open'};
    const workspace = key === undefined ? undefined : this.workspaces.get(key);
    return workspace === undefined
      ? {type: 'unauthenticated'}
      : {type: 'workspace', workspace};
  }

  private account({pauseMs, splits, tier}: Route): void {
    for (const {service} of splits) {
      const lowest = this.lowestTiers.get(service) ?? 0;
      this.lowestTiers.set(service, Math.max(lowest, tier));
      if (pauseMs === undefined) continue;
      const pauses = this.pauses.get(service) ?? [];
      pauses.push(pauseMs);
      this.pauses.set(service, pauses);
    }
  }

  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** The least urgent tier of the routes to a service. */
  lowestTierOf(service: string): number {
    return this.lowestTiers.get(service) ?? 0;
  }

  /** Longest pauses that the streaming routes of a service allow, in ms. */
  pausesOf(service: string): readonly number[] {
    return this.pauses.get(service) ?? [];
  }

  /**
   * The service for a request of a route. `point` in [0, 1) picks among the
   * splits in proportion to their weights.
   */
  pick(route: Route, point: number): string {
    const total = route.splits.reduce((sum, {weight}) => sum + weight, 0);
    let left = point * total;
    for (const {service, weight} of route.splits) {
      left -= weight;
      if (left < 0) return service;
    }
    return route.splits[0]?.service ?? '';
  }
}
