import {
  chooseEndpoint,
  type ChoiceOptions,
  type ChoiceRequest,
  type EndpointView,
} from '@marjorampin/routing';

/** A placement policy: chooses the endpoint of each call. */
export abstract class Policy {
  abstract readonly name: string;

  /** Whether a call is refused early when the expected wait is too long for its priority. */
  readonly usesAdmission: boolean = false;

  /** Whether engines schedule calls by priority. */
  readonly usesPriority: boolean = false;

  /** Chooses among the available endpoints; undefined when there is none. */
  abstract choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined;
}

/** Chooses the endpoints in turn. */
export class RoundRobin extends Policy {
  override readonly name = 'round robin';

  private next = 0;

  override choose(views: EndpointView[]): EndpointView | undefined {
    this.next += 1;
    return views[this.next % views.length];
  }
}

/** Chooses the endpoint with the fewest calls: those reported and those sent since the report. */
export class LeastLoaded extends Policy {
  override readonly name = 'least loaded';

  override choose(views: EndpointView[]): EndpointView | undefined {
    const callCount = ({ load, sentSinceReport }: EndpointView) =>
      load.running + load.queued + sentSinceReport;
    return [...views].sort((a, b) => callCount(a) - callCount(b))[0];
  }
}

/** Chooses the endpoint of the program's previous call while it is available, else the least loaded. */
export class StickyOnly extends Policy {
  override readonly name = 'sticky only';

  private readonly fallback = new LeastLoaded();

  override choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined {
    const warm = views.find(({ endpoint }) => endpoint.id === request.warmEndpoint);
    return warm ?? this.fallback.choose(views);
  }
}

/** Marjorampin's own policy; an ablation disables parts of it. */
export class MarjorampinPolicy extends Policy {
  override readonly name: string;

  override readonly usesAdmission: boolean;

  override readonly usesPriority: boolean;

  private readonly options: ChoiceOptions;

  constructor({
    name = 'marjorampin',
    usesAdmission = true,
    usesPriority = true,
    ...options
  }: ChoiceOptions & { name?: string; usesAdmission?: boolean; usesPriority?: boolean } = {}) {
    super();
    this.name = name;
    this.usesAdmission = usesAdmission;
    this.usesPriority = usesPriority;
    this.options = options;
  }

  override choose(views: EndpointView[], request: ChoiceRequest): EndpointView | undefined {
    return chooseEndpoint(views, request, this.options);
  }
}
