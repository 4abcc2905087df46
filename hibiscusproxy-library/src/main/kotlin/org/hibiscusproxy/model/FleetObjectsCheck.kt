package org.hibiscusproxy.model

/**
 * Validates a complete set of objects and collects all faults, so that an operator can correct them
 * in one pass. The result depends only on the objects and is thus the same on all replicas.
 */
class FleetObjectsCheck private constructor(private val objects: FleetObjects) {
    private val faults = mutableListOf<ObjectFault>()
    private val services = objects.services.associateBy { it.name }
    private val dataCenters = objects.dataCenters.mapTo(HashSet()) { it.name }
    private val teams = objects.teams.mapTo(HashSet()) { it.name }
    private val targets = objects.targets.associateBy { it.name }

    private fun run(): List<ObjectFault> {
        checkTeams()
        checkServices()
        checkDataCenters()
        checkLinks()
        checkTargets()
        checkRoutingRules()
        return faults
    }

    private fun checkTeams() {
        checkNames(ObjectKind.TEAM, objects.teams.map { it.name.value })
        for (team in objects.teams) {
            val reporter = Reporter(ObjectKind.TEAM, team.name.value)
            reporter.requireRange("share", team.share, 1..MAXIMUM_SHARE)
        }
    }

    private fun checkServices() {
        checkNames(ObjectKind.SERVICE, objects.services.map { it.name.value })
        for (service in objects.services) {
            val reporter = Reporter(ObjectKind.SERVICE, service.name.value)
            reporter.requireRange("loadMultiple", service.loadMultiple, 1.0..MAXIMUM_LOAD_MULTIPLE)
            reporter.requireRange("loadFloor", service.loadFloor, 1..MAXIMUM_CAPACITY)
            reporter.requireRange(
                "deadlineMilliseconds",
                service.deadlineMilliseconds,
                1..MAXIMUM_DEADLINE_MILLISECONDS,
            )
            when (val kind = service.kind) {
                is ServiceKind.Chat -> if (kind.models.isEmpty()) reporter.emptyModelList()
                is ServiceKind.Plain -> checkMethods(reporter, kind)
            }
        }
    }

    private fun checkMethods(reporter: Reporter, kind: ServiceKind.Plain) {
        for (method in kind.nonRepeatableMethods) {
            if (method !in HTTP_METHODS) {
                reporter.unsuitable("nonRepeatableMethods", method, "not an HTTP method")
            }
        }
    }

    private fun checkDataCenters() {
        checkNames(ObjectKind.DATA_CENTER, objects.dataCenters.map { it.name.value })
        for (dataCenter in objects.dataCenters) {
            if (!NAME_PATTERN.matches(dataCenter.region)) {
                Reporter(ObjectKind.DATA_CENTER, dataCenter.name.value)
                    .unsuitable("region", dataCenter.region, "not a well-formed name")
            }
        }
    }

    private fun checkLinks() {
        val pairs = HashSet<Set<DataCenterName>>()
        for (link in objects.links) {
            val reporter = Reporter(ObjectKind.LINK, "${link.first} - ${link.second}")
            reporter.requireDataCenter(link.first)
            reporter.requireDataCenter(link.second)
            reporter.requireRange(
                "oneWayMilliseconds",
                link.oneWayMilliseconds,
                0.0..MAXIMUM_LINK_MILLISECONDS,
            )
            if (link.first == link.second) {
                reporter.unsuitable("second", link.second.value, "a link joins two data centres")
            } else if (!pairs.add(setOf(link.first, link.second))) {
                faults += ObjectFault.DuplicateName(ObjectKind.LINK, reporter.name)
            }
        }
    }

    private fun checkTargets() {
        checkNames(ObjectKind.TARGET, objects.targets.map { it.name.value })
        val addresses = HashMap<NetworkAddress, TargetName>()
        for (target in objects.targets) {
            val reporter = Reporter(ObjectKind.TARGET, target.name.value)
            reporter.requireDataCenter(target.dataCenter)
            reporter.requireRange("capacity", target.capacity, 1..MAXIMUM_CAPACITY)
            reporter.requireRange("coldCapacity", target.coldCapacity, 1..target.capacity)
            reporter.requireRange("weight", target.weight, MINIMUM_WEIGHT..MAXIMUM_WEIGHT)
            checkAddress(reporter, target, addresses)
            checkModels(reporter, target)
        }
    }

    private fun checkAddress(
        reporter: Reporter,
        target: Target,
        addresses: MutableMap<NetworkAddress, TargetName>,
    ) {
        val address = target.sidecar
        if (address.port == 0 || !isIpAddress(address.host)) {
            faults += ObjectFault.BadAddress(ObjectKind.TARGET, reporter.name, "$address")
        }
        val otherName = addresses.putIfAbsent(address, target.name) ?: return
        faults += ObjectFault.DuplicateAddress(
            ObjectKind.TARGET,
            reporter.name,
            "$address",
            otherName.value,
        )
    }

    private fun checkModels(reporter: Reporter, target: Target) {
        val service = services[target.service]
        if (service == null) {
            reporter.dangling(ObjectKind.SERVICE, target.service.value)
            return
        }
        when (val kind = service.kind) {
            is ServiceKind.Chat -> {
                if (target.models.isEmpty()) reporter.emptyModelList()
                for (model in target.models - kind.models.toSet()) {
                    reporter.unsuitable("models", model.value, "not a model of the service")
                }
            }

            is ServiceKind.Plain -> for (model in target.models + target.adapters) {
                reporter.unsuitable("models", model.value, "a plain service has no models")
            }
        }
    }

    private fun checkRoutingRules() {
        checkNames(ObjectKind.ROUTING_RULE, objects.routingRules.map { it.name.value })
        for (rule in objects.routingRules) {
            val reporter = Reporter(ObjectKind.ROUTING_RULE, rule.name.value)
            if (rule.service !in services) {
                reporter.dangling(ObjectKind.SERVICE, rule.service.value)
            }
            rule.team?.let { if (it !in teams) reporter.dangling(ObjectKind.TEAM, it.value) }
            rule.dataCenters.forEach(reporter::requireDataCenter)
            checkRuleModel(reporter, rule)
            for (name in rule.targets) {
                val target = targets[name]
                if (target == null) {
                    reporter.dangling(ObjectKind.TARGET, name.value)
                } else if (target.service != rule.service) {
                    reporter.unsuitable("targets", name.value, "serves ${target.service}")
                }
            }
        }
    }

    private fun checkRuleModel(reporter: Reporter, rule: RoutingRule) {
        val model = rule.model ?: return
        val kind = services[rule.service]?.kind ?: return
        if (kind !is ServiceKind.Chat || model !in kind.models) {
            reporter.unsuitable("model", model.value, "not a model of the service")
        }
    }

    private fun checkNames(kind: ObjectKind, names: List<String>) {
        for ((name, uses) in names.groupingBy { it }.eachCount()) {
            if (!NAME_PATTERN.matches(name)) faults += ObjectFault.MalformedName(kind, name)
            if (uses > 1) faults += ObjectFault.DuplicateName(kind, name)
        }
    }

    /** Collects the faults of one object. */
    private inner class Reporter(private val kind: ObjectKind, val name: String) {
        fun <T : Comparable<T>> requireRange(property: String, value: T, range: ClosedRange<T>) {
            if (value in range) return
            val allowed = "in ${range.start}..${range.endInclusive}"
            faults += ObjectFault.OutOfRange(kind, name, property, "$value", allowed)
        }

        fun requireDataCenter(dataCenter: DataCenterName) {
            if (dataCenter !in dataCenters) dangling(ObjectKind.DATA_CENTER, dataCenter.value)
        }

        fun dangling(referredKind: ObjectKind, referredName: String) {
            faults += ObjectFault.DanglingReference(kind, name, referredKind, referredName)
        }

        fun unsuitable(property: String, value: String, reason: String) {
            faults += ObjectFault.UnsuitableReference(kind, name, property, value, reason)
        }

        fun emptyModelList() {
            faults += ObjectFault.EmptyModelList(kind, name)
        }
    }

    companion object {
        private const val MAXIMUM_SHARE = 1_000
        private const val MAXIMUM_CAPACITY = 65_536
        private const val MAXIMUM_LOAD_MULTIPLE = 100.0
        private const val MINIMUM_WEIGHT = 0.001
        private const val MAXIMUM_WEIGHT = 1_000.0
        private const val MAXIMUM_LINK_MILLISECONDS = 10_000.0
        private const val MAXIMUM_DEADLINE_MILLISECONDS = 3_600_000L
        private const val MAXIMUM_OCTET = 255
        private val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
        private val HTTP_METHODS = setOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
        private val IPV4_PATTERN = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
        private val IPV6_PATTERN = Regex("[0-9A-Fa-f:.]{2,45}")

        /** Returns all faults of [objects] by object kind; empty if they are consistent. */
        fun faults(objects: FleetObjects): List<ObjectFault> = FleetObjectsCheck(objects).run()

        /** Checks only the syntax, because a name look-up may give replicas different results. */
        private fun isIpAddress(host: String): Boolean {
            if (':' in host) return IPV6_PATTERN.matches(host)
            val octets = IPV4_PATTERN.matchEntire(host)?.groupValues?.drop(1) ?: return false
            return octets.all { it.toInt() <= MAXIMUM_OCTET }
        }
    }
}
