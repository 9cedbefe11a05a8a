import type {
  CallerLimits,
  Route,
  RoutingDocument,
  Service,
  Workspace,
} from './document.js';

/** Result of checking the API key of a request. */
export type Authentication =
  /** The request needs no key. */
  | {type: 'open'}
  | {type: 'workspace'; workspace: Workspace}
  /** The key is missing or unknown. */
  | {type: 'unauthenticated'};

/** Indexes of one version of the routing configuration. */
export class RoutingTable {
  readonly version: number;
  readonly limits: CallerLimits;
  /** Routes by host, then by path prefix. */
  private readonly routesByHost = new Map<string, Map<string, Route>>();
  /** Workspaces by API key; undefined if callers need no keys. */
  private readonly workspaceByKey?: Map<string, Workspace>;
  private readonly services: Map<string, Service>;
  /** Tier by rank of the workspace, then by rank of the route. */
  private readonly tiers = new Map<number, Map<number, number>>();
  /** Least urgent tier of the requests for each service. */
  private readonly lowestTiers = new Map<string, number>();
  /** Targets for the time between events, in ms, by service. */
  private readonly targetGaps = new Map<string, number[]>();

  constructor(readonly document: RoutingDocument) {
    this.version = document.version;
    this.limits = document.limits;
    for (const route of document.routes) {
      const prefixes =
        this.routesByHost.get(route.host) ?? new Map<string, Route>();
      this.routesByHost.set(route.host, prefixes.set(route.prefix, route));
    }
    this.indexTiers(document);
    for (const route of document.routes) this.indexRoute(route, document);
    this.services = new Map(
      document.services.map(service => [service.name, service]),
    );
    if (document.workspaces === undefined) return;
    this.workspaceByKey = new Map(
      document.workspaces.flatMap(workspace =>
        workspace.keys.map(key => [key, workspace] as const),
      ),
    );
  }

  /**
   * The route with the longest prefix of `path`, which must not contain a
   * query; undefined if there is none.
   */
  match(host: string, path: string): Route | undefined {
    const prefixes = this.routesByHost.get(host);
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

  /** Checks the API key that came with a request of a route. */
  authenticate(route: Route, key: string | undefined): Authentication {
    if (route.open || this.workspaceByKey === undefined) return {type: 'open'};
    const workspace =
      key === undefined ? undefined : this.workspaceByKey.get(key);
    return workspace === undefined
      ? {type: 'unauthenticated'}
      : {type: 'workspace', workspace};
  }

  /**
   * Tier of a request; 0 is the most urgent. The workspace's priority decides,
   * if it has one, and among equals that of the route.
   */
  tierOf(route: Route, workspace: Workspace | undefined): number {
    const priority = workspace?.priority ?? route.priority;
    return this.tiers.get(priority)?.get(route.priority) ?? 0;
  }

  /** Numbers the pairs of priorities that requests can have. */
  private indexTiers({routes, workspaces = []}: RoutingDocument): void {
    const pairs = routes.flatMap(route =>
      [route.priority, ...workspaces.map(({priority}) => priority)].map(
        priority => [priority ?? route.priority, route.priority] as const,
      ),
    );
    pairs.sort(([a, b], [c, d]) => a - c || b - d);
    let tier = 0;
    for (const [first, second] of pairs) {
      const tiers = this.tiers.get(first) ?? new Map<number, number>();
      if (!tiers.has(second)) tiers.set(second, tier++);
      this.tiers.set(first, tiers);
    }
  }

  /** Adds a route to the tiers and targets of its services. */
  private indexRoute(route: Route, {workspaces = []}: RoutingDocument): void {
    const {targetGapMs, splits} = route;
    const tiers = [undefined, ...workspaces].map(workspace =>
      this.tierOf(route, workspace),
    );
    for (const {service} of splits) {
      const lowest = this.lowestTiers.get(service) ?? 0;
      this.lowestTiers.set(service, Math.max(lowest, ...tiers));
      if (targetGapMs === undefined) continue;
      const targetGaps = this.targetGaps.get(service) ?? [];
      targetGaps.push(targetGapMs);
      this.targetGaps.set(service, targetGaps);
    }
  }

  service(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** The least urgent tier of the requests for a service. */
  lowestTierOf(service: string): number {
    return this.lowestTiers.get(service) ?? 0;
  }

  /** Targets for the time between events of a service's routes, in ms. */
  targetGapsOf(service: string): readonly number[] {
    return this.targetGaps.get(service) ?? [];
  }

  /**
   * Chooses the service for a request of a route. `point`, a random number in
   * [0, 1), selects among the splits in proportion to their weights.
   */
  pick(route: Route, point: number): string {
    const total = route.splits.reduce((sum, {weight}) => sum + weight, 0);
    let remaining = point * total;
    for (const {service, weight} of route.splits) {
      remaining -= weight;
      if (remaining < 0) return service;
    }
    return route.splits[0]?.service ?? '';
  }
}
