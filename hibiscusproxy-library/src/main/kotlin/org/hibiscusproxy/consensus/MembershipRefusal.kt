package org.hibiscusproxy.consensus

/** Why a leader refuses to propose a membership change. */
enum class MembershipRefusal {
    /** This replica is not the leader. */
    NOT_LEADER,

    /** The leader has not applied an entry of its own term yet. */
    NOT_READY,

    /** Another membership change is not committed yet. */
    CHANGE_PENDING,

    /** The name belongs to a member, possibly with another identity; remove that member first. */
    NAME_IN_USE,

    /** The identity belongs to a member with another name. */
    IDENTITY_IN_USE,

    /** Identity 0 stands for none. */
    INVALID_IDENTITY,

    /** No member has the name. */
    UNKNOWN_MEMBER,

    /** The member is a voter already. */
    ALREADY_VOTER,

    /** The member lacks recent entries or has not answered within the election timeout. */
    NOT_CAUGHT_UP,

    /** Too few voters of the membership after the change have answered recently to commit it. */
    MAJORITY_SILENT,

    /** A cluster without voters could not commit anything. */
    LAST_VOTER,
}
