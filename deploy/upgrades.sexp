; Enables staged upgrades (docs/upgrading.md). Start each controller with
;     target/eiderhitch --settings deploy/upgrades.sexp --config FILE
(eiderhitch
  (feature-levels yes))
